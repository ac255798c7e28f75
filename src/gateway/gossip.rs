//! The exchange of digests between instances: merges received ones into the state, and builds the
//! next one to send.

use std::net::SocketAddr;

use crate::gateway::backend::BackendLoad;
use crate::gateway::peer_digest::{Digest, Envelope, LoadEntry, SpentEntry};
use crate::gateway::peer_table::DigestOutcome;
use crate::gateway::state::{GatewayState, JOIN_PERIOD_MS, monotonic_now};
use crate::gateway::usage_limits::UsageReport;
use crate::name::Name;

/// Shortest time between two datagrams that contain usage, in milliseconds; limits count in
/// seconds, so this is often enough.
const USAGE_INTERVAL_MS: u64 = 100;

impl GatewayState {
    /// Merges a digest of another instance into the state.
    pub fn receive_digest(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        envelope: &Envelope,
        digest: &Digest,
    ) -> DigestOutcome {
        let outcome = self.peers.receive(now_ms, from, envelope, digest);
        if !outcome.usable {
            return outcome;
        }
        let name = &digest.instance;
        if outcome.is_new {
            self.limits.reset_instance(name);
        }
        self.peer_queues.retain(|(known, _)| known != name);
        if self.peers.is_in_own_cell(name) {
            let loads: Vec<_> = digest.loads.iter().map(load).collect();
            self.backends.set_peer_loads(name, &loads);
            if !digest.queues.is_empty() {
                self.peer_queues.push((name.clone(), digest.queues.clone()));
            }
        }
        let reports: Vec<_> = digest.spent.iter().map(report).collect();
        let joining = now_ms < self.started_ms + JOIN_PERIOD_MS;
        self.limits.merge(now_ms, name, &reports, joining);
        if !digest.suspects.is_empty() {
            self.quarantine.merge(monotonic_now(now_ms), name, &digest.suspects);
        }
        let cell_revision = if self.peers.is_in_own_cell(name) { digest.store_revision } else { 0 };
        self.record_peer_versions(now_ms, cell_revision, digest.document_version);
        // The sender's proof covers its own document and revision, so it counts only if this
        // instance has both.
        if digest.document_version == self.table.version()
            && digest.store_revision <= self.store_revision.unwrap_or_default()
            && let Some(proved_ms) = outcome.proved_ms
        {
            self.freshness.record_proof(proved_ms);
        }
        outcome
    }

    /// Drops loads and queues of silent instances, and updates the live share of limits and the
    /// own cell.
    pub fn tick(&mut self, now_ms: u64) {
        for name in self.peers.silent(now_ms) {
            self.backends.set_peer_loads(&name, &[]);
            self.peer_queues.retain(|(known, _)| *known != name);
        }
        let live = self.peers.live_count(now_ms);
        self.limits.set_instances(now_ms, live, self.peers.known_count());
        let cell = self.peers.cell(&self.settings.instance);
        self.backends.set_cell(cell);
    }

    /// Returns the next digest to send, and its receivers with their envelopes.
    pub fn outgoing_digest(&mut self, now_ms: u64) -> (Digest, Vec<(SocketAddr, Envelope)>) {
        let is_full = now_ms >= self.spent_sent_ms + USAGE_INTERVAL_MS;
        if is_full {
            self.spent_sent_ms = now_ms;
        }
        let others = self.peers.addresses_to_announce(now_ms);
        let loads = self.backends.own_loads().into_iter().map(load_entry).collect();
        let digest = Digest {
            instance: self.settings.instance.clone(),
            incarnation: self.incarnation,
            sent_ms: now_ms,
            stopping: self.stop.is_some(),
            document_version: self.table.version(),
            proof_age_ms: self.freshness.age_ms(now_ms),
            store_revision: self.store_revision.unwrap_or_default(),
            store_reachable: self.store_reachable,
            others,
            loads,
            queues: self.queues.iter().flat_map(|(name, queue)| queue.lengths(name)).collect(),
            spent: if is_full { self.spent() } else { Vec::new() },
            suspects: self.quarantine.suspects(),
        };
        (digest, self.peers.targets(now_ms, &self.settings.instance, is_full))
    }

    fn spent(&self) -> Vec<SpentEntry> {
        self.limits.reports().into_iter().map(spent_entry).collect()
    }
}

fn load(entry: &LoadEntry) -> (Name, BackendLoad) {
    let load = BackendLoad { running: entry.running, unread_tokens: entry.unread_tokens };
    (entry.backend_server.clone(), load)
}

fn load_entry((backend_server, load): (Name, BackendLoad)) -> LoadEntry {
    LoadEntry { backend_server, running: load.running, unread_tokens: load.unread_tokens }
}

fn report(entry: &SpentEntry) -> UsageReport {
    UsageReport {
        customer: entry.customer.clone(),
        left_units: entry.left_units,
        spent_units: entry.spent_units,
    }
}

fn spent_entry(report: UsageReport) -> SpentEntry {
    SpentEntry {
        customer: report.customer,
        left_units: report.left_units,
        spent_units: report.spent_units,
    }
}
