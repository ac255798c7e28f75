//! Counters and latency histograms, rendered in the Prometheus text format.

use std::cell::{Cell, RefCell};
use std::fmt::Write;

use hyper::StatusCode;

use crate::gateway::admission::RefusalReason;
use crate::gateway::fleet::pending_origin::OriginSource;
use crate::gateway::part_stage::PartStage;
use crate::gateway::state_transfer::TransferSource;
use crate::intake::closing_cause::ClosingCause;
use crate::transfer::Transfer;

/// Upper bounds of the histograms, in milliseconds.
const BUCKETS_MS: [u64; 12] = [5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000, 20_000];

/// A latency histogram.
#[derive(Debug, Default)]
pub struct Histogram {
    counts: [u64; BUCKETS_MS.len()],
    sum_ms: u64,
    total: u64,
}

/// Counters and histograms of an instance.
#[derive(Debug, Default)]
pub struct Counters {
    answers: RefCell<Vec<(u16, u64)>>,
    closings: RefCell<Vec<((&'static str, &'static str), u64)>>,
    cold_changes: RefCell<Vec<(&'static str, u64)>>,
    first_event: RefCell<Histogram>,
    held_back: Cell<u64>,
    part_changes: RefCell<Vec<(&'static str, u64)>>,
    peer_bytes: RefCell<Vec<(&'static str, u64)>>,
    peer_largest_bytes: RefCell<Vec<(&'static str, u64)>>,
    refusals: RefCell<Vec<(&'static str, u64)>>,
    relayed_connections: RefCell<Vec<(&'static str, u64)>>,
    request: RefCell<Histogram>,
    resumptions: RefCell<Vec<(&'static str, u64)>>,
    standing_changes: RefCell<Vec<(&'static str, u64)>>,
    store_calls: Cell<u64>,
    store_failures: Cell<u64>,
    transfers: RefCell<Vec<((&'static str, &'static str), u64)>>,
}

/// Current values of an instance, rendered beside its counters.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Backend servers that accept requests.
    pub backend_servers: usize,
    /// Memory that bodies of requests hold, in bytes.
    pub body_bytes: usize,
    /// Memory that buffered answers of backend servers hold, in bytes.
    pub buffered_bytes: usize,
    /// Connections of callers.
    pub caller_connections: usize,
    /// Backend servers that are cold.
    pub cold_servers: usize,
    /// Whether the instance counts as cut off from backend servers.
    pub cut_off: bool,
    /// Data centres that are evacuated.
    pub evacuated_data_centres: usize,
    /// Version of the document in force.
    pub document_version: u64,
    /// Software versions that take no streams that may be resumed yet.
    pub held_versions: usize,
    /// Newest version of the document that any instance has reported.
    pub newest_document_version: u64,
    /// Requests whose answer is not complete yet.
    pub in_progress: usize,
    /// Live instances, this one included.
    pub instances: usize,
    /// Age of the proof that the document is the newest, in milliseconds.
    pub proof_age_ms: Option<u64>,
    /// Own requests that await a decision of this instance.
    pub undecided: usize,
    /// Requests waiting for a backend server.
    pub waiting: usize,
}

impl Histogram {
    /// Records a time, in milliseconds.
    pub fn record(&mut self, time_ms: u64) {
        let index = BUCKETS_MS.partition_point(|bound_ms| *bound_ms < time_ms);
        if let Some(count) = self.counts.get_mut(index) {
            *count += 1;
        }
        self.sum_ms += time_ms;
        self.total += 1;
    }

    fn write(&self, name: &str, text: &mut String) {
        let mut cumulative_count = 0;
        for (bound_ms, count) in BUCKETS_MS.iter().zip(&self.counts) {
            cumulative_count += count;
            write_line(text, format_args!("{name}_bucket{{le=\"{bound_ms}\"}} {cumulative_count}"));
        }
        write_line(text, format_args!("{name}_bucket{{le=\"+Inf\"}} {}", self.total));
        write_line(text, format_args!("{name}_sum {}", self.sum_ms));
        write_line(text, format_args!("{name}_count {}", self.total));
    }
}

impl Counters {
    /// Counts an answer and records the time from the arrival of its request.
    pub fn record_answer(&self, status: StatusCode, elapsed_ms: u64) {
        increment(&mut self.answers.borrow_mut(), status.as_u16());
        self.request.borrow_mut().record(elapsed_ms);
    }

    /// Records the time from the arrival of a request to the first event of its stream.
    pub fn record_first_event(&self, elapsed_ms: u64) {
        self.first_event.borrow_mut().record(elapsed_ms);
    }

    /// Counts a connection at an address that the instance closes for its limits.
    pub fn record_closing(&self, address: &'static str, cause: ClosingCause) {
        increment(&mut self.closings.borrow_mut(), (address, cause.name()));
    }

    /// Counts a backend server that turned cold or warm.
    pub fn record_cold_change(&self, is_cold: bool) {
        let state = if is_cold { "cold" } else { "warm" };
        increment(&mut self.cold_changes.borrow_mut(), state);
    }

    /// Counts a place that was not used because its backend server had been evacuated.
    pub fn record_held_back(&self) {
        self.held_back.set(self.held_back.get() + 1);
    }

    /// Counts a refusal.
    pub fn record_refusal(&self, reason: RefusalReason) {
        increment(&mut self.refusals.borrow_mut(), reason.name());
    }

    /// Counts a change of what is known of a prompt part.
    pub fn record_part_change(&self, stage: PartStage) {
        increment(&mut self.part_changes.borrow_mut(), stage.name());
    }

    /// Counts an ejection of a backend server, or its end.
    pub fn record_standing_change(&self, is_ejected: bool) {
        let name = if is_ejected { "ejected" } else { "trusted" };
        increment(&mut self.standing_changes.borrow_mut(), name);
    }

    /// Counts a stream that its caller takes up, by the source of its origin.
    pub fn record_resumption(&self, source: Option<OriginSource>) {
        let name = source.map(OriginSource::name).unwrap_or("unknown");
        increment(&mut self.resumptions.borrow_mut(), name);
    }

    /// Counts a relayed connection: opened, failed, or served to another instance.
    pub fn record_relayed_connection(&self, event: &'static str) {
        increment(&mut self.relayed_connections.borrow_mut(), event);
    }

    /// Counts a message of this size, in bytes, that is sent to several other instances.
    pub fn record_peer_message(&self, kind: &'static str, bytes: usize, receivers: usize) {
        add(&mut self.peer_bytes.borrow_mut(), kind, (bytes * receivers) as u64);
        raise(&mut self.peer_largest_bytes.borrow_mut(), kind, bytes as u64);
    }

    /// Returns the bytes sent to other instances, by kind of message.
    pub fn peer_bytes(&self) -> Vec<(&'static str, u64)> {
        self.peer_bytes.borrow().clone()
    }

    /// Returns the size of the largest message sent to other instances, in bytes, by its kind.
    pub fn peer_largest_bytes(&self) -> Vec<(&'static str, u64)> {
        self.peer_largest_bytes.borrow().clone()
    }

    /// Counts a call to the store.
    pub fn record_store_call(&self, failed: bool) {
        self.store_calls.set(self.store_calls.get() + 1);
        self.store_failures.set(self.store_failures.get() + u64::from(failed));
    }

    /// Counts the bytes of a transfer of state, by whether they were used.
    pub fn record_transfer(&self, source: TransferSource, transfer: &Transfer, is_used: bool) {
        let outcome = if is_used { "used" } else { "discarded" };
        let bytes = transfer.received_bytes() as u64;
        add(&mut self.transfers.borrow_mut(), (source.name(), outcome), bytes);
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self, gauges: &Gauges) -> String {
        let mut text = String::new();
        for (status, number) in self.answers.borrow().iter() {
            write_line(
                &mut text,
                format_args!("bergamotspan_answers_total{{status=\"{status}\"}} {number}"),
            );
        }
        for (reason, number) in self.refusals.borrow().iter() {
            write_line(
                &mut text,
                format_args!("bergamotspan_refusals_total{{reason=\"{reason}\"}} {number}"),
            );
        }
        for ((address, cause), number) in self.closings.borrow().iter() {
            write_line(
                &mut text,
                format_args!(
                    "bergamotspan_closed_connections_total{{address=\"{address}\",cause=\"{cause}\"}} \
                     {number}"
                ),
            );
        }
        for (stage, number) in self.part_changes.borrow().iter() {
            write_line(
                &mut text,
                format_args!(
                    "bergamotspan_prompt_part_changes_total{{stage=\"{stage}\"}} {number}"
                ),
            );
        }
        for (standing, number) in self.standing_changes.borrow().iter() {
            write_line(
                &mut text,
                format_args!(
                    "bergamotspan_standing_changes_total{{standing=\"{standing}\"}} {number}"
                ),
            );
        }
        for (state, number) in self.cold_changes.borrow().iter() {
            write_line(
                &mut text,
                format_args!("bergamotspan_cold_changes_total{{state=\"{state}\"}} {number}"),
            );
        }
        for (source, number) in self.resumptions.borrow().iter() {
            write_line(
                &mut text,
                format_args!("bergamotspan_resumptions_total{{source=\"{source}\"}} {number}"),
            );
        }
        for (event, number) in self.relayed_connections.borrow().iter() {
            write_line(
                &mut text,
                format_args!(
                    "bergamotspan_relayed_connections_total{{event=\"{event}\"}} {number}"
                ),
            );
        }
        for (kind, number) in self.peer_bytes.borrow().iter() {
            write_line(
                &mut text,
                format_args!("bergamotspan_peer_bytes_total{{kind=\"{kind}\"}} {number}"),
            );
        }
        for (kind, bytes) in self.peer_largest_bytes.borrow().iter() {
            write_line(
                &mut text,
                format_args!("bergamotspan_peer_largest_bytes{{kind=\"{kind}\"}} {bytes}"),
            );
        }
        for ((source, outcome), number) in self.transfers.borrow().iter() {
            write_line(
                &mut text,
                format_args!(
                    "bergamotspan_state_bytes_total{{source=\"{source}\",outcome=\"{outcome}\"}} \
                     {number}"
                ),
            );
        }
        self.request.borrow().write("bergamotspan_request_ms", &mut text);
        self.first_event.borrow().write("bergamotspan_first_event_ms", &mut text);
        let proof_age_ms = gauges.proof_age_ms.map(|age_ms| age_ms as i64).unwrap_or(-1);
        for (name, value) in [
            ("store_calls_total", self.store_calls.get() as i64),
            ("store_failures_total", self.store_failures.get() as i64),
            ("backend_servers", gauges.backend_servers as i64),
            ("request_body_bytes", gauges.body_bytes as i64),
            ("buffered_answer_bytes", gauges.buffered_bytes as i64),
            ("caller_connections", gauges.caller_connections as i64),
            ("cold_servers", gauges.cold_servers as i64),
            ("cut_off", i64::from(gauges.cut_off)),
            ("evacuated_data_centres", gauges.evacuated_data_centres as i64),
            ("evacuated_places_total", self.held_back.get() as i64),
            ("document_version", gauges.document_version as i64),
            ("held_versions", gauges.held_versions as i64),
            ("newest_document_version", gauges.newest_document_version as i64),
            ("requests_in_progress", gauges.in_progress as i64),
            ("requests_undecided", gauges.undecided as i64),
            ("requests_waiting", gauges.waiting as i64),
            ("instances", gauges.instances as i64),
            ("proof_age_ms", proof_age_ms),
        ] {
            write_line(&mut text, format_args!("bergamotspan_{name} {value}"));
        }
        text
    }
}

fn increment<T>(counts: &mut Vec<(T, u64)>, key: T)
where
    T: Copy + Ord,
{
    add(counts, key, 1);
}

fn add<T>(counts: &mut Vec<(T, u64)>, key: T, number: u64)
where
    T: Copy + Ord,
{
    match counts.binary_search_by_key(&key, |(known, _)| *known) {
        Ok(index) => counts[index].1 += number,
        Err(index) => counts.insert(index, (key, number)),
    }
}

/// Raises a value that is lower than `number` to it.
fn raise<T>(values: &mut Vec<(T, u64)>, key: T, number: u64)
where
    T: Copy + Ord,
{
    match values.binary_search_by_key(&key, |(known, _)| *known) {
        Ok(index) => values[index].1 = values[index].1.max(number),
        Err(index) => values.insert(index, (key, number)),
    }
}

fn write_line(text: &mut String, line: std::fmt::Arguments<'_>) {
    // Writing to a string does not fail.
    let _ = writeln!(text, "{line}");
}
