//! Records the requests that were running at a backend server when it crashed, and reports them to
//! the other instances and to the schedulers.

use crate::core::Core;
use crate::name::Name;
use crate::now::Now;
use crate::peer_message::PeerMessage;
use crate::request::RequestState;
use crate::scheduler::SchedulerEvent;

impl Core {
    /// Records that a request was running at a backend server when it crashed.
    pub(crate) fn record_crash(&mut self, now: Now, sequence: u64) {
        let Some(request) = self.requests.get(sequence) else { return };
        let RequestState::Running { backend_server, .. } = &request.state else { return };
        let backend_server = backend_server.clone();
        let (fingerprint, granted_ms) = (request.arrival.fingerprint, request.granted_ms);
        self.quarantine.record_crash(now, &backend_server, fingerprint, granted_ms);
        let suspects = self.quarantine.suspects();
        let peers: Vec<Name> = self.membership.live_members();
        let own_name = self.own_name();
        for peer in peers.iter().filter(|peer| **peer != own_name) {
            self.send(peer, PeerMessage::Suspects(suspects.clone()));
        }
        self.refresh_quarantine(now);
    }

    pub(crate) fn clear_suspicion(&mut self, sequence: u64) {
        let Some(request) = self.requests.get(sequence) else { return };
        self.quarantine.record_finish(request.arrival.fingerprint);
    }

    pub(crate) fn quarantine_event(&self) -> SchedulerEvent {
        SchedulerEvent::Quarantine {
            quarantined: self.quarantined.clone(),
            suspects: self.suspected.clone(),
        }
    }

    /// Sends the quarantined and suspected fingerprints to the schedulers if they changed.
    pub(crate) fn refresh_quarantine(&mut self, now: Now) {
        let quarantined = self.quarantine.quarantined(now);
        let suspected = self.quarantine.suspected(now);
        if quarantined == self.quarantined && suspected == self.suspected {
            return;
        }
        if quarantined.len() > self.quarantined.len() {
            self.log("quarantine", format!("{} requests are quarantined.", quarantined.len()));
        }
        self.quarantined = quarantined;
        self.suspected = suspected;
        let event = self.quarantine_event();
        self.send_to_schedulers(now, &event);
    }
}
