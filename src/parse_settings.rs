//! Reads the settings of an instance from INI.

use crate::error::Error;
use crate::finding_list::FindingList;
use crate::ini_document::{IniDocument, IniSection};
use crate::ini_value::{address, choice, listen_address, name, number, time_ms};
use crate::name::Name;
use crate::section_reader::SectionReader;
use crate::section_schema::{SectionSchema, check_schema};
use crate::settings::{
    CallerSettings, DispatchSettings, InstanceSettings, KeySettings, LogFormat, LogSettings,
    PeerSettings, PlatformSettings, Policy, Settings, ShutdownSettings, TelemetrySettings,
};

const BODY_LIMIT_BYTES: u64 = 4 * 1024 * 1024;
const CLOCK_MARGIN_MS: u64 = 500;
const CONFIRMATION_WINDOW_MS: u64 = 3_000;
const CONNECT_TIMEOUT_MS: u64 = 1_000;
const DRAIN_LIMIT_MS: u64 = 30_000;
const EXPORT_INTERVAL_MS: u64 = 10_000;
const FEWEST_HEARTBEATS_IN_WINDOW: u64 = 3;
const GRANT_LIMIT_MS: u64 = 1_000;
const HEARTBEAT_INTERVAL_MS: u64 = 500;
const IDLE_LIMIT_MS: u64 = 2_000;
const KEY_CAPACITY: u32 = 100_000;
const KEY_LIFETIME_MS: u64 = 600_000;
const LARGEST_BODY_LIMIT_BYTES: u64 = 1024 * 1024 * 1024;
const LARGEST_CAPACITY: u64 = 10_000_000;
const LARGEST_RESUME_LIMIT: u64 = 100;
const LOAD_INTERVAL_MS: u64 = 500;
const RESUME_LIMIT: u32 = 3;
const NOTICE_MS: u64 = 2_000;
const WATCH_TIMEOUT_MS: u64 = 3_000;

const FORMATS: &[(&str, LogFormat)] = &[("json", LogFormat::Json), ("text", LogFormat::Text)];

const LEVELS: &[(&str, &str)] = &[
    ("error", "error"),
    ("warn", "warn"),
    ("info", "info"),
    ("debug", "debug"),
    ("trace", "trace"),
];

const POLICIES: &[(&str, Policy)] = &[
    ("least_outstanding", Policy::LeastOutstanding),
    ("round_robin", Policy::RoundRobin),
    ("steward", Policy::Coordinator),
];

/// Sections that the settings may have.
pub const SETTINGS_SCHEMAS: &[SectionSchema] = &[
    section("caller", &["body_limit_bytes", "listen_address"]),
    section(
        "dispatch",
        &["connect_timeout_ms", "idle_limit_ms", "load_interval_ms", "policy", "resume_limit"],
    ),
    section("instance", &["data_centre", "name"]),
    section("keys", &["capacity", "clock_margin_ms", "grant_limit_ms", "lifetime_ms"]),
    section("log", &["format", "level"]),
    section("peer", &["confirmation_window_ms", "heartbeat_interval_ms", "listen_address"]),
    section("platform", &["address", "watch_timeout_ms"]),
    section("shutdown", &["drain_limit_ms", "notice_ms"]),
    section("telemetry", &["export_interval_ms", "otlp_address"]),
];

/// Reads the settings of an instance from the INI `text` of `file`.
///
/// # Errors
///
/// Returns [`Error::Findings`] with all findings, sorted by line, if there are any.
pub fn parse_settings(file: &str, text: &str) -> Result<Settings, Error> {
    let mut findings = FindingList::new(file);
    let Some(document) = IniDocument::parse(text, &mut findings) else {
        return findings.finish(None);
    };
    check_schema(&document, SETTINGS_SCHEMAS, &mut findings);
    let settings = read(&mut SettingsReader { document, findings: &mut findings });
    findings.finish(settings)
}

const fn section(kind: &'static str, keys: &'static [&'static str]) -> SectionSchema {
    SectionSchema { keys, kind, named: false }
}

struct SettingsReader<'a> {
    document: IniDocument,
    findings: &'a mut FindingList,
}

impl SettingsReader<'_> {
    /// Reads a section that may be absent, as if it were empty.
    fn optional<T, R>(&mut self, kind: &str, read: R) -> Option<T>
    where
        R: Fn(&mut SectionReader<'_>) -> Option<T>,
    {
        let absent = IniSection { kind: kind.into(), ..IniSection::default() };
        let section = self.document.section(kind).unwrap_or(&absent);
        read(&mut SectionReader::new(section, self.findings))
    }

    /// Reads a section that must be there.
    fn required<T, R>(&mut self, kind: &str, read: R) -> Option<T>
    where
        R: Fn(&mut SectionReader<'_>) -> Option<T>,
    {
        let Some(section) = self.document.section(kind) else {
            self.findings.add(0, format!("Section '[{kind}]' is missing."));
            return None;
        };
        read(&mut SectionReader::new(section, self.findings))
    }
}

fn read(reader: &mut SettingsReader<'_>) -> Option<Settings> {
    let caller = reader.required("caller", read_caller);
    let dispatch = reader.optional("dispatch", read_dispatch);
    let instance = reader.required("instance", read_instance);
    let keys = reader.optional("keys", read_keys);
    let log = reader.optional("log", read_log);
    let peer = reader.required("peer", read_peer);
    let platform = reader.required("platform", read_platform);
    let shutdown = reader.optional("shutdown", read_shutdown);
    let telemetry = reader.optional("telemetry", read_telemetry);
    Some(Settings {
        caller: caller?,
        dispatch: dispatch?,
        instance: instance?,
        keys: keys?,
        log: log?,
        peer: peer?,
        platform: platform?,
        shutdown: shutdown?,
        telemetry: telemetry?,
    })
}

fn read_caller(section: &mut SectionReader<'_>) -> Option<CallerSettings> {
    let body_limit = number(1..=LARGEST_BODY_LIMIT_BYTES);
    let body_limit_bytes = section.or_default("body_limit_bytes", BODY_LIMIT_BYTES, body_limit);
    let listen_address = section.required("listen_address", listen_address);
    Some(CallerSettings { body_limit_bytes: body_limit_bytes?, listen_address: listen_address? })
}

fn read_dispatch(section: &mut SectionReader<'_>) -> Option<DispatchSettings> {
    let connect_timeout_ms = time(section, "connect_timeout_ms", CONNECT_TIMEOUT_MS);
    let idle_limit_ms = time(section, "idle_limit_ms", IDLE_LIMIT_MS);
    let load_interval_ms = time(section, "load_interval_ms", LOAD_INTERVAL_MS);
    let policy = section.or_default("policy", Policy::Coordinator, choice(POLICIES));
    let resume_limit =
        section.or_default("resume_limit", RESUME_LIMIT, number(0..=LARGEST_RESUME_LIMIT));
    Some(DispatchSettings {
        connect_timeout_ms: connect_timeout_ms?,
        idle_limit_ms: idle_limit_ms?,
        load_interval_ms: load_interval_ms?,
        policy: policy?,
        resume_limit: resume_limit?,
    })
}

fn read_instance(section: &mut SectionReader<'_>) -> Option<InstanceSettings> {
    let data_centre = section.required("data_centre", name);
    let name = section.required("name", name);
    Some(InstanceSettings { data_centre: data_centre?, name: name? })
}

fn read_keys(section: &mut SectionReader<'_>) -> Option<KeySettings> {
    let capacity = section.or_default("capacity", KEY_CAPACITY, number(1..=LARGEST_CAPACITY));
    let clock_margin_ms = time(section, "clock_margin_ms", CLOCK_MARGIN_MS);
    let grant_limit_ms = time(section, "grant_limit_ms", GRANT_LIMIT_MS);
    let lifetime_ms = time(section, "lifetime_ms", KEY_LIFETIME_MS);
    let keys = KeySettings {
        capacity: capacity?,
        clock_margin_ms: clock_margin_ms?,
        grant_limit_ms: grant_limit_ms?,
        lifetime_ms: lifetime_ms?,
    };
    let shortest_ms = keys.clock_margin_ms + keys.grant_limit_ms;
    if keys.lifetime_ms <= shortest_ms {
        let message = format!(
            "'lifetime_ms' must be more than 'clock_margin_ms' and 'grant_limit_ms' together, \
             {shortest_ms}, not {}.",
            keys.lifetime_ms
        );
        section.add("lifetime_ms", message);
    }
    Some(keys)
}

fn read_log(section: &mut SectionReader<'_>) -> Option<LogSettings> {
    let format = section.or_default("format", LogFormat::Text, choice(FORMATS));
    let level = section.or_default("level", "info", choice(LEVELS));
    Some(LogSettings { format: format?, level: Name::from(level?) })
}

fn read_peer(section: &mut SectionReader<'_>) -> Option<PeerSettings> {
    let confirmation_window_ms = time(section, "confirmation_window_ms", CONFIRMATION_WINDOW_MS);
    let heartbeat_interval_ms = time(section, "heartbeat_interval_ms", HEARTBEAT_INTERVAL_MS);
    let listen_address = section.required("listen_address", listen_address);
    if let (Some(window_ms), Some(interval_ms)) = (confirmation_window_ms, heartbeat_interval_ms) {
        check_window(section, window_ms, interval_ms);
    }
    Some(PeerSettings {
        confirmation_window_ms: confirmation_window_ms?,
        heartbeat_interval_ms: heartbeat_interval_ms?,
        listen_address: listen_address?,
    })
}

fn read_platform(section: &mut SectionReader<'_>) -> Option<PlatformSettings> {
    let address = section.required("address", address);
    let watch_timeout_ms = time(section, "watch_timeout_ms", WATCH_TIMEOUT_MS);
    Some(PlatformSettings { address: address?, watch_timeout_ms: watch_timeout_ms? })
}

fn read_shutdown(section: &mut SectionReader<'_>) -> Option<ShutdownSettings> {
    let drain_limit_ms = time(section, "drain_limit_ms", DRAIN_LIMIT_MS);
    let notice_ms = time(section, "notice_ms", NOTICE_MS);
    Some(ShutdownSettings { drain_limit_ms: drain_limit_ms?, notice_ms: notice_ms? })
}

fn read_telemetry(section: &mut SectionReader<'_>) -> Option<TelemetrySettings> {
    let export_interval_ms = time(section, "export_interval_ms", EXPORT_INTERVAL_MS);
    let otlp_address = section.optional("otlp_address", address);
    Some(TelemetrySettings { export_interval_ms: export_interval_ms?, otlp_address: otlp_address? })
}

fn check_window(section: &mut SectionReader<'_>, window_ms: u64, interval_ms: u64) {
    let shortest_ms = FEWEST_HEARTBEATS_IN_WINDOW * interval_ms;
    if window_ms < shortest_ms {
        let message = format!(
            "'confirmation_window_ms' must be at least three heartbeats, {shortest_ms}, \
             not {window_ms}."
        );
        section.add("confirmation_window_ms", message);
    }
}

fn time(section: &mut SectionReader<'_>, key: &str, default_ms: u64) -> Option<u64> {
    section.or_default(key, default_ms, time_ms)
}
