//! Tests of the daemon's log.

use std::time::UNIX_EPOCH;

use bergamotspan::logging::{TextLayout, start};
use bergamotspan::settings::{LogFormat, LogSettings};
use logforth::Layout;
use logforth::record::{Level, Record};

#[test]
fn a_text_line_has_time_level_target_and_message() {
    let record = Record::builder()
        .level(Level::Warn)
        .payload(format_args!("Link to 'entry-2' closed."))
        .target("peer")
        .build();

    let line = String::from_utf8(TextLayout.format(&record, &[]).unwrap()).unwrap();

    let (time, rest) = line.split_once(' ').unwrap();
    assert!(time.parse::<jiff::Timestamp>().unwrap() > UNIX_EPOCH.try_into().unwrap());
    assert_eq!(rest, "WARN peer: Link to 'entry-2' closed.");
}

#[test]
fn an_unknown_level_is_an_error() {
    let settings = LogSettings { format: LogFormat::Text, level: "loud".into() };

    let error = start(&settings).unwrap_err();

    assert_eq!(error.to_string(), "Reading the log level 'loud' failed: unknown level");
}

#[test]
fn a_second_log_is_an_error() {
    let settings = LogSettings { format: LogFormat::Json, level: "info".into() };

    start(&settings).unwrap();
    let error = start(&settings).unwrap_err();

    assert!(error.to_string().starts_with("Starting the log failed: "), "{error}");
    assert_eq!(log::max_level(), log::LevelFilter::Info);
}
