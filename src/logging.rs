//! Writes the log of the daemon to standard error, as text or JSON.

use std::io::{self, ErrorKind};

use jiff::Timestamp;
use logforth::append::Stderr;
use logforth::layout::JsonLayout;
use logforth::record::{Level, LevelFilter, Record};
use logforth::{Diagnostic, Layout, starter_log};

use crate::error::Error;
use crate::settings::{LogFormat, LogSettings};

/// Formats a record as one line of time, level, target and message.
#[derive(Clone, Copy, Debug, Default)]
pub struct TextLayout;

impl Layout for TextLayout {
    fn format(
        &self,
        record: &Record,
        _diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<Vec<u8>, logforth::Error> {
        let time = Timestamp::try_from(record.time()).unwrap_or_default();
        let level = record.level().name();
        let line = format!("{time:.3} {level} {}: {}", record.target(), record.payload());
        Ok(line.into_bytes())
    }
}

/// Starts the log of the process.
///
/// # Errors
///
/// Returns [`Error::Io`] if the level is unknown or the log was started before.
pub fn start(settings: &LogSettings) -> Result<(), Error> {
    let level = parse_level(&settings.level)?;
    let stderr = match settings.format {
        LogFormat::Json => Stderr::default().with_layout(JsonLayout::default()),
        LogFormat::Text => Stderr::default().with_layout(TextLayout),
    };
    starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(LevelFilter::MoreSevereEqual(level)).append(stderr))
        .try_apply()
        .map_err(|error| {
            Error::io("Starting the log failed", io::Error::other(error.to_string()))
        })?;
    log::set_max_level(log_filter(level));
    Ok(())
}

fn log_filter(level: Level) -> log::LevelFilter {
    match level {
        Level::Error => log::LevelFilter::Error,
        Level::Warn => log::LevelFilter::Warn,
        Level::Info => log::LevelFilter::Info,
        Level::Debug => log::LevelFilter::Debug,
        _ => log::LevelFilter::Trace,
    }
}

fn parse_level(name: &str) -> Result<Level, Error> {
    match name {
        "debug" => Ok(Level::Debug),
        "error" => Ok(Level::Error),
        "info" => Ok(Level::Info),
        "trace" => Ok(Level::Trace),
        "warn" => Ok(Level::Warn),
        _ => {
            let unknown = io::Error::new(ErrorKind::InvalidInput, "unknown level");
            Err(Error::io(format!("Reading the log level '{name}' failed"), unknown))
        }
    }
}
