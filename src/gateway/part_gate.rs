//! Decides whether a request may be sent whose prompt shares parts with requests that crashed
//! engines.

use crate::gateway::backend::SendOutcome;
use crate::gateway::crash_records::CrashNotice;
use crate::gateway::fleet::part_evidence::{PartEvidence, PartRefusal};
use crate::gateway::part_stage::{PartChange, PartStanding};
use crate::gateway::request_metadata::PromptShape;
use crate::gateway::state::{GatewayState, RETRY_SOON_MS};
use crate::name::Name;

impl GatewayState {
    /// Checks that no part of a prompt is quarantined, and that no request with a part of it that may
    /// have crashed engines is on its way or has just failed.
    ///
    /// # Errors
    ///
    /// Returns the refusal otherwise.
    pub(crate) fn check_parts(&self, now_ms: u64, prompt: &PromptShape) -> Result<(), PartRefusal> {
        match self.parts.standing(now_ms, &prompt.shared_parts()) {
            PartStanding::Unsuspected => Ok(()),
            PartStanding::Quarantined { until_ms } => {
                let retry_after_ms = until_ms.saturating_sub(now_ms);
                Err(PartRefusal { is_quarantined: true, retry_after_ms })
            }
            PartStanding::Suspected(parts)
                if self.is_on_its_way(&parts) || self.parts.has_unconfirmed(now_ms, &parts) =>
            {
                Err(PartRefusal { is_quarantined: false, retry_after_ms: RETRY_SOON_MS })
            }
            PartStanding::Suspected(_) => Ok(()),
        }
    }

    /// Returns whether a request with any of these parts was sent and no event of its answer has
    /// arrived.
    fn is_on_its_way(&self, parts: &[u64]) -> bool {
        let own = self.fleet.own_places.iter().map(|place| &place.unstarted_parts);
        let granted = self.fleet.leases.iter().map(|lease| &lease.unstarted_parts);
        own.chain(granted).any(|unstarted| unstarted.iter().any(|part| parts.contains(part)))
    }

    /// Records the end of a send whose prompt has these shared parts, unless its first event had
    /// arrived.
    pub(crate) fn record_end_of_parts(
        &mut self,
        now_ms: u64,
        outcome: SendOutcome,
        backend_server: &Name,
        parts: &[u64],
    ) {
        if outcome == SendOutcome::Failed {
            self.parts.record_failure(now_ms, backend_server, parts);
        }
    }

    /// Records that the first event of an answer arrived whose prompt has these shared parts.
    pub(crate) fn record_event_of_parts(&mut self, now_ms: u64, parts: &[u64]) {
        let changes = self.parts.record_event(now_ms, parts);
        self.note_part_changes(changes);
    }

    /// Records a crash of an engine under a request of whose answer no event had arrived.
    pub(crate) fn record_crash_of_parts(
        &mut self,
        now_ms: u64,
        crashed_ms: u64,
        backend_server: &Name,
        parts: &[u64],
    ) {
        if parts.is_empty() {
            return;
        }
        let changes = self.parts.record_crash(now_ms, crashed_ms, backend_server, parts);
        self.note_part_changes(changes);
        self.fleet.is_urgent = true;
    }

    /// Merges the evidence that another instance reports; returns whether it changed anything.
    pub(crate) fn merge_part_evidence(
        &mut self,
        now_ms: u64,
        from: &Name,
        evidence: &PartEvidence,
    ) -> bool {
        let changes = self.parts.merge(now_ms, from, evidence);
        let changed = !changes.is_empty();
        self.note_part_changes(changes);
        self.fleet.is_urgent |= changed;
        changed
    }

    /// Removes expired evidence.
    pub(crate) fn expire_parts(&mut self, now_ms: u64) {
        let layout = self.fleet.layout();
        let (own, count) = (layout.own, layout.count());
        self.parts.set_cell(own, count);
        let changes = self.parts.expire(now_ms);
        self.note_part_changes(changes);
    }

    fn note_part_changes(&mut self, changes: Vec<PartChange>) {
        self.crash_notices.extend(changes.into_iter().map(CrashNotice::PartChanged));
    }
}
