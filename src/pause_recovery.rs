//! Detects a pause of the process. The state received from other instances is then outdated, so it
//! is dropped, with the schedulers.

use crate::core::Core;
use crate::effect::Effect;
use crate::granting::GRANT_EXPIRES_MS;
use crate::membership_event::MembershipEvent;
use crate::name::Name;
use crate::now::Now;

/// Missed heartbeats after which the others consider an instance lost.
const SILENT_INTERVALS: u64 = 3;

impl Core {
    /// Drops the state of other instances if the time since the last event shows a pause.
    pub(crate) fn detect_pause(&mut self, now: Now) {
        let gap_ms = now.monotonic_ms.saturating_sub(self.last_event_ms);
        self.last_event_ms = now.monotonic_ms;
        if gap_ms > self.pause_limit_ms() {
            self.recover_from_pause(now, gap_ms);
        }
    }

    /// Returns whether a message of a peer may have been sent before a pause of this process.
    pub(crate) fn is_outdated(&self, peer: &Name) -> bool {
        self.renewed_links.binary_search(peer).is_ok()
    }

    /// Accepts messages on a link that came up, since they were sent after the pause.
    pub(crate) fn accept_new_link(&mut self, peer: &Name) {
        self.renewed_links.retain(|name| name != peer);
    }

    fn pause_limit_ms(&self) -> u64 {
        let silence_ms = SILENT_INTERVALS * self.settings.peer.heartbeat_interval_ms;
        silence_ms.max(GRANT_EXPIRES_MS).min(self.settings.peer.confirmation_window_ms)
    }

    fn recover_from_pause(&mut self, now: Now, gap_ms: u64) {
        self.log(
            "stop",
            format!("The process was paused for {gap_ms} ms: state of peers is dropped."),
        );
        self.adoption.revalidate(now);
        self.peer_versions.clear();
        self.stopping_peers.clear();
        self.schedulers.clear();
        self.renew_links();
        for peer in self.renewed_links.clone() {
            self.apply_membership_event(now, MembershipEvent::LinkLost { peer });
        }
        self.sweep_requests(now);
        self.assign_coordinators(now);
        self.move_grant_requests(now, Some(&self.own_name()));
    }

    fn renew_links(&mut self) {
        let peers = self.linked_peers.clone();
        self.renewed_links = peers.iter().map(|(name, _)| name.clone()).collect();
        self.effects.push(Effect::SetPeers(Vec::new()));
        self.effects.push(Effect::SetPeers(peers));
    }
}
