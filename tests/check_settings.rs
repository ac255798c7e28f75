//! Tests of each finding on settings, and of their defaults.

mod document_text;

use bergamotspan::intake::intake_limits::IntakeLimits;
use bergamotspan::parse_settings::parse_settings;
use bergamotspan::settings::{
    CallerSettings, DispatchSettings, InstanceSettings, KeySettings, LogFormat, LogSettings,
    PeerSettings, PlatformSettings, Policy, Settings, ShutdownSettings, TelemetrySettings,
};

use crate::document_text::{DocumentText, findings_of};

const VALID_SETTINGS: &str = "\
[instance]
name = entry-1
data_centre = umea-a
[caller]
listen_address = 127.0.0.1:0
[peer]
listen_address = 127.0.0.1:0
heartbeat_interval_ms = 400
confirmation_window_ms = 1200
[platform]
address = 127.0.0.1:7000
[keys]
lifetime_ms = 60000
";

const REQUIRED_SETTINGS: &str = "\
[instance]
name = entry-1
data_centre = umea-a
[caller]
listen_address = 127.0.0.1:8080
[peer]
listen_address = 127.0.0.1:8081
[platform]
address = 127.0.0.1:7000
";

fn assert_findings(old: &str, new: &str, expected: &[&str]) {
    let text = DocumentText::new(VALID_SETTINGS).replace(old, new).build();

    let findings = findings_of(parse_settings("test.ini", &text));

    assert_eq!(findings, expected);
}

#[test]
fn every_missing_section_is_found() {
    assert_findings(
        "[instance]\nname = entry-1\ndata_centre = umea-a\n[caller]\nlisten_address = 127.0.0.1:0\n[peer]\nlisten_address = 127.0.0.1:0\nheartbeat_interval_ms = 400\nconfirmation_window_ms = 1200\n[platform]\naddress = 127.0.0.1:7000\n",
        "",
        &[
            "0: Section '[caller]' is missing.",
            "0: Section '[instance]' is missing.",
            "0: Section '[peer]' is missing.",
            "0: Section '[platform]' is missing.",
        ],
    );
}

#[test]
fn missing_keys_of_the_instance_are_found() {
    assert_findings(
        "name = entry-1\ndata_centre = umea-a\n",
        "",
        &[
            "1: Key 'data_centre' is missing in '[instance]'.",
            "1: Key 'name' is missing in '[instance]'.",
        ],
    );
}

#[test]
fn missing_listen_addresses_are_found() {
    assert_findings(
        "[caller]\nlisten_address = 127.0.0.1:0\n[peer]\nlisten_address = 127.0.0.1:0\n",
        "[caller]\n[peer]\n",
        &[
            "4: Key 'listen_address' is missing in '[caller]'.",
            "5: Key 'listen_address' is missing in '[peer]'.",
        ],
    );
}

#[test]
fn a_missing_platform_address_is_found() {
    assert_findings(
        "address = 127.0.0.1:7000\n",
        "",
        &["10: Key 'address' is missing in '[platform]'."],
    );
}

#[test]
fn an_unknown_section_is_found_with_the_nearest_name() {
    assert_findings("[keys]", "[kyes]", &["12: Unknown section '[kyes]'; did you mean 'keys'?"]);
}

#[test]
fn an_unknown_key_is_found_with_the_nearest_name() {
    assert_findings(
        "lifetime_ms",
        "lifetime_s",
        &["13: Unknown key 'lifetime_s' in '[keys]'; did you mean 'lifetime_ms'?"],
    );
}

#[test]
fn a_section_with_a_name_is_found() {
    assert_findings(
        "[instance]",
        "[instance entry-1]",
        &["1: Section '[instance entry-1]' takes no name: '[instance]'."],
    );
}

#[test]
fn a_repeated_section_is_found() {
    assert_findings(
        "[keys]",
        "[keys]\n[keys]",
        &["13: Section '[keys]' is already defined on line 12."],
    );
}

#[test]
fn a_name_with_a_slash_is_found() {
    assert_findings(
        "name = entry-1",
        "name = entry/1",
        &["2: 'name' may contain only ASCII letters and digits, '-', '_' and '.', not 'entry/1'."],
    );
}

#[test]
fn a_data_centre_with_a_space_is_found() {
    assert_findings(
        "data_centre = umea-a",
        "data_centre = umea a",
        &[
            "3: 'data_centre' may contain only ASCII letters and digits, '-', '_' and '.', not 'umea a'.",
        ],
    );
}

#[test]
fn a_listen_address_by_host_name_is_found() {
    assert_findings(
        "[caller]\nlisten_address = 127.0.0.1:0",
        "[caller]\nlisten_address = localhost:8080",
        &["5: 'listen_address' must be an IP address with a port, not 'localhost:8080'."],
    );
}

#[test]
fn a_platform_address_with_port_zero_is_found() {
    assert_findings(
        "127.0.0.1:7000",
        "127.0.0.1:0",
        &["11: 'address' must have a port other than 0, not '127.0.0.1:0'."],
    );
}

#[test]
fn an_unspecified_platform_address_is_found() {
    assert_findings(
        "127.0.0.1:7000",
        "0.0.0.0:7000",
        &["11: 'address' must name one machine, not '0.0.0.0:7000'."],
    );
}

#[test]
fn a_body_limit_with_a_unit_is_found() {
    assert_findings(
        "[peer]",
        "body_limit_bytes = 4 MiB\n[peer]",
        &[
            "6: 'body_limit_bytes' must be a whole number of bytes from 1 to 1073741824, not '4 MiB'.",
        ],
    );
}

#[test]
fn a_body_limit_out_of_range_is_found() {
    assert_findings(
        "[peer]",
        "body_limit_bytes = 1073741825\n[peer]",
        &[
            "6: 'body_limit_bytes' must be a whole number of bytes from 1 to 1073741824, not '1073741825'.",
        ],
    );
}

#[test]
fn a_window_below_three_heartbeats_is_found() {
    assert_findings(
        "confirmation_window_ms = 1200",
        "confirmation_window_ms = 1199",
        &["9: 'confirmation_window_ms' must be at least three heartbeats, 1200, not 1199."],
    );
}

#[test]
fn a_heartbeat_that_is_too_long_for_the_default_window_is_found() {
    assert_findings(
        "heartbeat_interval_ms = 400\nconfirmation_window_ms = 1200",
        "heartbeat_interval_ms = 1001",
        &["6: 'confirmation_window_ms' must be at least three heartbeats, 3003, not 3000."],
    );
}

#[test]
fn a_time_of_zero_is_found() {
    assert_findings(
        "heartbeat_interval_ms = 400",
        "heartbeat_interval_ms = 0",
        &[
            "8: 'heartbeat_interval_ms' must be a whole number of milliseconds from 1 to 86400000, not '0'.",
        ],
    );
}

#[test]
fn a_time_above_a_day_is_found() {
    assert_findings(
        "lifetime_ms = 60000",
        "lifetime_ms = 86400001",
        &[
            "13: 'lifetime_ms' must be a whole number of milliseconds from 1 to 86400000, not '86400001'.",
        ],
    );
}

#[test]
fn a_lifetime_not_above_margin_and_limit_is_found() {
    assert_findings(
        "lifetime_ms = 60000",
        "lifetime_ms = 1500",
        &[
            "13: 'lifetime_ms' must be more than 'clock_margin_ms' and 'grant_limit_ms' together, 1500, not 1500.",
        ],
    );
}

#[test]
fn a_capacity_of_zero_is_found() {
    assert_findings(
        "lifetime_ms = 60000",
        "capacity = 0",
        &["13: 'capacity' must be a whole number from 1 to 10000000, not '0'."],
    );
}

#[test]
fn an_unknown_policy_is_found() {
    assert_findings(
        "[keys]",
        "[dispatch]\npolicy = random\n[keys]",
        &["13: 'policy' must be one of least_outstanding, round_robin, steward, not 'random'."],
    );
}

#[test]
fn a_negative_resume_limit_is_found() {
    assert_findings(
        "[keys]",
        "[dispatch]\nresume_limit = -1\n[keys]",
        &["13: 'resume_limit' must be a whole number from 0 to 100, not '-1'."],
    );
}

#[test]
fn an_unknown_log_format_is_found() {
    assert_findings(
        "[keys]",
        "[log]\nformat = xml\n[keys]",
        &["13: 'format' must be one of json, text, not 'xml'."],
    );
}

#[test]
fn an_unknown_log_level_is_found() {
    assert_findings(
        "[keys]",
        "[log]\nlevel = loud\n[keys]",
        &["13: 'level' must be one of error, warn, info, debug, trace, not 'loud'."],
    );
}

#[test]
fn an_otlp_address_by_url_is_found() {
    assert_findings(
        "[keys]",
        "[telemetry]\notlp_address = http://10.0.0.9:4318\n[keys]",
        &["13: 'otlp_address' must be an IP address with a port, not 'http://10.0.0.9:4318'."],
    );
}

#[test]
fn an_empty_value_is_found() {
    assert_findings("lifetime_ms = 60000", "lifetime_ms =", &["13: 'lifetime_ms' has no value."]);
}

#[test]
fn all_findings_are_reported_in_order_of_lines() {
    assert_findings(
        "name = entry-1\ndata_centre = umea-a\n[caller]",
        "nane = entry-1\n[log]\nlevel = all\n[caller]",
        &[
            "1: Key 'data_centre' is missing in '[instance]'.",
            "1: Key 'name' is missing in '[instance]'.",
            "2: Unknown key 'nane' in '[instance]'; did you mean 'name'?",
            "4: 'level' must be one of error, warn, info, debug, trace, not 'all'.",
        ],
    );
}

#[test]
fn absent_keys_have_their_defaults() {
    let settings = parse_settings("test.ini", REQUIRED_SETTINGS).unwrap();

    let expected = Settings {
        caller: CallerSettings {
            answer_limit_bytes: 8_388_608,
            body_limit_bytes: 4_194_304,
            head_timeout_ms: 60_000,
            intake: IntakeLimits::of_machine(110, 4_100),
            listen_address: "127.0.0.1:8080".parse().unwrap(),
        },
        dispatch: DispatchSettings {
            connect_timeout_ms: 1_000,
            idle_limit_ms: 2_000,
            load_interval_ms: 500,
            policy: Policy::Coordinator,
            resume_limit: 3,
        },
        instance: InstanceSettings { data_centre: "umea-a".into(), name: "entry-1".into() },
        keys: KeySettings {
            capacity: 100_000,
            clock_margin_ms: 500,
            grant_limit_ms: 1_000,
            lifetime_ms: 600_000,
        },
        log: LogSettings { format: LogFormat::Text, level: "info".into() },
        peer: PeerSettings {
            confirmation_window_ms: 3_000,
            heartbeat_interval_ms: 500,
            listen_address: "127.0.0.1:8081".parse().unwrap(),
        },
        platform: PlatformSettings {
            address: "127.0.0.1:7000".parse().unwrap(),
            watch_timeout_ms: 3_000,
        },
        shutdown: ShutdownSettings { drain_limit_ms: 30_000, notice_ms: 2_000 },
        telemetry: TelemetrySettings { export_interval_ms: 10_000, otlp_address: None },
    };
    assert_eq!(settings, expected);
}

#[test]
fn present_keys_are_read() {
    let text = format!(
        "{REQUIRED_SETTINGS}watch_timeout_ms = 1\n\
         [dispatch]\nconnect_timeout_ms = 2\nidle_limit_ms = 3\nload_interval_ms = 4\n\
         policy = round_robin\nresume_limit = 0\n\
         [keys]\ncapacity = 5\nclock_margin_ms = 6\ngrant_limit_ms = 7\nlifetime_ms = 14\n\
         [log]\nformat = json\nlevel = debug\n\
         [shutdown]\ndrain_limit_ms = 8\nnotice_ms = 9\n\
         [telemetry]\nexport_interval_ms = 9\notlp_address = 127.0.0.1:4318\n"
    );

    let settings = parse_settings("test.ini", &text).unwrap();

    let dispatch = DispatchSettings {
        connect_timeout_ms: 2,
        idle_limit_ms: 3,
        load_interval_ms: 4,
        policy: Policy::RoundRobin,
        resume_limit: 0,
    };
    let keys = KeySettings { capacity: 5, clock_margin_ms: 6, grant_limit_ms: 7, lifetime_ms: 14 };
    let telemetry = TelemetrySettings {
        export_interval_ms: 9,
        otlp_address: Some("127.0.0.1:4318".parse().unwrap()),
    };
    assert_eq!(settings.platform.watch_timeout_ms, 1);
    assert_eq!(settings.dispatch, dispatch);
    assert_eq!(settings.keys, keys);
    assert_eq!(settings.log, LogSettings { format: LogFormat::Json, level: "debug".into() });
    assert_eq!(settings.shutdown, ShutdownSettings { drain_limit_ms: 8, notice_ms: 9 });
    assert_eq!(settings.telemetry, telemetry);
}

#[test]
fn the_policy_least_outstanding_is_read() {
    let text = format!("{REQUIRED_SETTINGS}[dispatch]\npolicy = least_outstanding\n");

    let settings = parse_settings("test.ini", &text).unwrap();

    assert_eq!(settings.dispatch.policy, Policy::LeastOutstanding);
}

#[test]
fn a_window_of_three_heartbeats_is_valid() {
    assert!(parse_settings("test.ini", VALID_SETTINGS).is_ok());
}

#[test]
fn limits_on_callers_follow_from_the_machine_unless_they_are_set() {
    let machine = format!("{REQUIRED_SETTINGS}[machine]\nmemory_mb = 260\ndescriptors = 1000\n");
    let settings = parse_settings("test.ini", &machine).unwrap();
    assert_eq!(settings.caller.intake, IntakeLimits::of_machine(260, 1_000));

    let set = machine.replace("[caller]\n", "[caller]\nconnections = 40\nbody_memory_mb = 7\n");
    let intake = parse_settings("test.ini", &set).unwrap().caller.intake;
    assert_eq!((intake.connections, intake.body_memory_bytes), (40, 7_000_000));
}

#[test]
fn limits_on_callers_out_of_range_are_findings() {
    for (key, value) in [("connections", "3"), ("unread_ms", "1"), ("body_silence_ms", "never")] {
        let text = REQUIRED_SETTINGS.replace("[caller]\n", &format!("[caller]\n{key} = {value}\n"));
        let error = parse_settings("test.ini", &text).unwrap_err().to_string();
        assert!(error.contains(&format!("'{key}' must be")), "{error}");
    }
}
