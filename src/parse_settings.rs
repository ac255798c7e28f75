//! Parses the settings of an instance from INI.

use std::ops::RangeInclusive;

use crate::error::Error;
use crate::finding_list::FindingList;
use crate::ini_document::{IniDocument, IniSection};
use crate::ini_value::{address, choice, listen_address, name, number, time_ms};
use crate::intake::intake_limits::{
    BODY_MEMORY_RANGE_MB, CONNECTIONS_RANGE, DEFAULT_ANSWER_LIMIT_BYTES, DEFAULT_DESCRIPTORS,
    DEFAULT_MEMORY_MB, IntakeLimits, STALL_RANGE_MS,
};
use crate::name::Name;
use crate::section_reader::SectionReader;
use crate::section_schema::{SectionSchema, check_schema};
use crate::settings::{
    CallerSettings, DispatchSettings, InstanceSettings, KeySettings, LogFormat, LogSettings,
    PeerSettings, PlatformSettings, Policy, Settings, ShutdownSettings, TelemetrySettings,
};

const BYTES_PER_MB: usize = 1_000_000;
const DESCRIPTORS_RANGE: RangeInclusive<u64> = 256..=10_000_000;
const MEMORY_RANGE_MB: RangeInclusive<u64> = 32..=10_000_000;
const DEFAULT_HEAD_TIMEOUT_MS: u64 = 60_000;
const DEFAULT_BODY_LIMIT_BYTES: u64 = 4 * 1024 * 1024;
const DEFAULT_CLOCK_MARGIN_MS: u64 = 500;
const DEFAULT_CONFIRMATION_WINDOW_MS: u64 = 3_000;
const DEFAULT_CONNECT_TIMEOUT_MS: u64 = 1_000;
const DEFAULT_DRAIN_LIMIT_MS: u64 = 30_000;
const DEFAULT_EXPORT_INTERVAL_MS: u64 = 10_000;
const MIN_HEARTBEATS_IN_WINDOW: u64 = 3;
const DEFAULT_GRANT_LIMIT_MS: u64 = 1_000;
const DEFAULT_HEARTBEAT_INTERVAL_MS: u64 = 500;
const DEFAULT_IDLE_LIMIT_MS: u64 = 2_000;
const DEFAULT_KEY_CAPACITY: u32 = 100_000;
const DEFAULT_KEY_LIFETIME_MS: u64 = 600_000;
const MAX_BODY_LIMIT_BYTES: u64 = 1024 * 1024 * 1024;
const MAX_KEY_CAPACITY: u64 = 10_000_000;
const MAX_RESUME_LIMIT: u64 = 100;
const DEFAULT_LOAD_INTERVAL_MS: u64 = 500;
const DEFAULT_RESUME_LIMIT: u32 = 3;
const DEFAULT_NOTICE_MS: u64 = 2_000;
const DEFAULT_WATCH_TIMEOUT_MS: u64 = 3_000;

const LOG_FORMATS: &[(&str, LogFormat)] = &[("json", LogFormat::Json), ("text", LogFormat::Text)];

const LOG_LEVELS: &[(&str, &str)] = &[
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
    unnamed_section(
        "caller",
        &[
            "answer_limit_bytes",
            "answer_memory_mb",
            "body_limit_bytes",
            "body_memory_mb",
            "body_silence_ms",
            "connections",
            "head_timeout_ms",
            "listen_address",
            "unread_ms",
        ],
    ),
    unnamed_section(
        "dispatch",
        &["connect_timeout_ms", "idle_limit_ms", "load_interval_ms", "policy", "resume_limit"],
    ),
    unnamed_section("instance", &["data_centre", "name"]),
    unnamed_section("keys", &["capacity", "clock_margin_ms", "grant_limit_ms", "lifetime_ms"]),
    unnamed_section("log", &["format", "level"]),
    unnamed_section("machine", &["descriptors", "memory_mb"]),
    unnamed_section("peer", &["confirmation_window_ms", "heartbeat_interval_ms", "listen_address"]),
    unnamed_section("platform", &["address", "watch_timeout_ms"]),
    unnamed_section("shutdown", &["drain_limit_ms", "notice_ms"]),
    unnamed_section("telemetry", &["export_interval_ms", "otlp_address"]),
];

/// Parses the settings of an instance from the INI `text` of `file`.
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
    let settings = read_settings(&mut SettingsReader { document, findings: &mut findings });
    findings.finish(settings)
}

const fn unnamed_section(kind: &'static str, keys: &'static [&'static str]) -> SectionSchema {
    SectionSchema { keys, kind, named: false }
}

struct SettingsReader<'a> {
    document: IniDocument,
    findings: &'a mut FindingList,
}

impl SettingsReader<'_> {
    /// Reads a section; an absent one is read as if it were empty.
    fn optional<T, R>(&mut self, kind: &str, read: R) -> Option<T>
    where
        R: Fn(&mut SectionReader<'_>) -> Option<T>,
    {
        let absent = IniSection { kind: kind.into(), ..IniSection::default() };
        let section = self.document.section(kind).unwrap_or(&absent);
        read(&mut SectionReader::new(section, self.findings))
    }

    /// Reads a section; an absent one is a finding.
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

fn read_settings(reader: &mut SettingsReader<'_>) -> Option<Settings> {
    let machine = reader.optional("machine", read_machine)?;
    let caller = reader.required("caller", |section| read_caller(section, &machine));
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

/// Reads the limits on callers that follow from the machine.
fn read_machine(section: &mut SectionReader<'_>) -> Option<IntakeLimits> {
    let descriptors =
        section.or_default("descriptors", DEFAULT_DESCRIPTORS, number(DESCRIPTORS_RANGE));
    let memory_mb = section.or_default("memory_mb", DEFAULT_MEMORY_MB, number(MEMORY_RANGE_MB));
    Some(IntakeLimits::of_machine(memory_mb?, descriptors?))
}

fn read_caller(section: &mut SectionReader<'_>, machine: &IntakeLimits) -> Option<CallerSettings> {
    let answer_limit_bytes = section.or_default(
        "answer_limit_bytes",
        DEFAULT_ANSWER_LIMIT_BYTES,
        number(1..=MAX_BODY_LIMIT_BYTES),
    );
    let answer_memory_mb =
        section.optional("answer_memory_mb", number::<usize>(BODY_MEMORY_RANGE_MB));
    let body_limit = number(1..=MAX_BODY_LIMIT_BYTES);
    let body_limit_bytes =
        section.or_default("body_limit_bytes", DEFAULT_BODY_LIMIT_BYTES, body_limit);
    let body_memory_mb = section.optional("body_memory_mb", number::<usize>(BODY_MEMORY_RANGE_MB));
    let body_silence_ms =
        section.or_default("body_silence_ms", machine.body_silence_ms, number(STALL_RANGE_MS));
    let connections =
        section.or_default("connections", machine.connections, number(CONNECTIONS_RANGE));
    let head_timeout_ms =
        section.or_default("head_timeout_ms", DEFAULT_HEAD_TIMEOUT_MS, number(STALL_RANGE_MS));
    let listen_address = section.required("listen_address", listen_address);
    let unread_ms = section.or_default("unread_ms", machine.unread_ms, number(STALL_RANGE_MS));
    let body_memory_bytes = body_memory_mb?.map(|megabytes| megabytes * BYTES_PER_MB);
    let answer_memory_bytes = answer_memory_mb?.map(|megabytes| megabytes * BYTES_PER_MB);
    let intake = IntakeLimits {
        answer_memory_bytes: answer_memory_bytes.unwrap_or(machine.answer_memory_bytes),
        body_memory_bytes: body_memory_bytes.unwrap_or(machine.body_memory_bytes),
        body_silence_ms: body_silence_ms?,
        connections: connections?,
        unread_ms: unread_ms?,
        ..machine.clone()
    };
    Some(CallerSettings {
        answer_limit_bytes: answer_limit_bytes?,
        body_limit_bytes: body_limit_bytes?,
        head_timeout_ms: head_timeout_ms?,
        intake,
        listen_address: listen_address?,
    })
}

fn read_dispatch(section: &mut SectionReader<'_>) -> Option<DispatchSettings> {
    let connect_timeout_ms =
        time_or_default(section, "connect_timeout_ms", DEFAULT_CONNECT_TIMEOUT_MS);
    let idle_limit_ms = time_or_default(section, "idle_limit_ms", DEFAULT_IDLE_LIMIT_MS);
    let load_interval_ms = time_or_default(section, "load_interval_ms", DEFAULT_LOAD_INTERVAL_MS);
    let policy = section.or_default("policy", Policy::Coordinator, choice(POLICIES));
    let resume_limit =
        section.or_default("resume_limit", DEFAULT_RESUME_LIMIT, number(0..=MAX_RESUME_LIMIT));
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
    let capacity =
        section.or_default("capacity", DEFAULT_KEY_CAPACITY, number(1..=MAX_KEY_CAPACITY));
    let clock_margin_ms = time_or_default(section, "clock_margin_ms", DEFAULT_CLOCK_MARGIN_MS);
    let grant_limit_ms = time_or_default(section, "grant_limit_ms", DEFAULT_GRANT_LIMIT_MS);
    let lifetime_ms = time_or_default(section, "lifetime_ms", DEFAULT_KEY_LIFETIME_MS);
    let keys = KeySettings {
        capacity: capacity?,
        clock_margin_ms: clock_margin_ms?,
        grant_limit_ms: grant_limit_ms?,
        lifetime_ms: lifetime_ms?,
    };
    let margin_and_limit_ms = keys.clock_margin_ms + keys.grant_limit_ms;
    if keys.lifetime_ms <= margin_and_limit_ms {
        let message = format!(
            "'lifetime_ms' must be more than 'clock_margin_ms' and 'grant_limit_ms' together, \
             {margin_and_limit_ms}, not {}.",
            keys.lifetime_ms
        );
        section.add_finding("lifetime_ms", message);
    }
    Some(keys)
}

fn read_log(section: &mut SectionReader<'_>) -> Option<LogSettings> {
    let format = section.or_default("format", LogFormat::Text, choice(LOG_FORMATS));
    let level = section.or_default("level", "info", choice(LOG_LEVELS));
    Some(LogSettings { format: format?, level: Name::from(level?) })
}

fn read_peer(section: &mut SectionReader<'_>) -> Option<PeerSettings> {
    let confirmation_window_ms =
        time_or_default(section, "confirmation_window_ms", DEFAULT_CONFIRMATION_WINDOW_MS);
    let heartbeat_interval_ms =
        time_or_default(section, "heartbeat_interval_ms", DEFAULT_HEARTBEAT_INTERVAL_MS);
    let listen_address = section.required("listen_address", listen_address);
    if let (Some(window_ms), Some(interval_ms)) = (confirmation_window_ms, heartbeat_interval_ms) {
        check_confirmation_window(section, window_ms, interval_ms);
    }
    Some(PeerSettings {
        confirmation_window_ms: confirmation_window_ms?,
        heartbeat_interval_ms: heartbeat_interval_ms?,
        listen_address: listen_address?,
    })
}

fn read_platform(section: &mut SectionReader<'_>) -> Option<PlatformSettings> {
    let address = section.required("address", address);
    let watch_timeout_ms = time_or_default(section, "watch_timeout_ms", DEFAULT_WATCH_TIMEOUT_MS);
    Some(PlatformSettings { address: address?, watch_timeout_ms: watch_timeout_ms? })
}

fn read_shutdown(section: &mut SectionReader<'_>) -> Option<ShutdownSettings> {
    let drain_limit_ms = time_or_default(section, "drain_limit_ms", DEFAULT_DRAIN_LIMIT_MS);
    let notice_ms = time_or_default(section, "notice_ms", DEFAULT_NOTICE_MS);
    Some(ShutdownSettings { drain_limit_ms: drain_limit_ms?, notice_ms: notice_ms? })
}

fn read_telemetry(section: &mut SectionReader<'_>) -> Option<TelemetrySettings> {
    let export_interval_ms =
        time_or_default(section, "export_interval_ms", DEFAULT_EXPORT_INTERVAL_MS);
    let otlp_address = section.optional("otlp_address", address);
    Some(TelemetrySettings { export_interval_ms: export_interval_ms?, otlp_address: otlp_address? })
}

fn check_confirmation_window(section: &mut SectionReader<'_>, window_ms: u64, interval_ms: u64) {
    let min_window_ms = MIN_HEARTBEATS_IN_WINDOW * interval_ms;
    if window_ms < min_window_ms {
        let message = format!(
            "'confirmation_window_ms' must be at least three heartbeats, {min_window_ms}, \
             not {window_ms}."
        );
        section.add_finding("confirmation_window_ms", message);
    }
}

fn time_or_default(section: &mut SectionReader<'_>, key: &str, default_ms: u64) -> Option<u64> {
    section.or_default(key, default_ms, time_ms)
}
