//! Places bids at the steward of a service, and moves them when the steward changes.

use crate::core::Core;
use crate::name::Name;
use crate::now::Now;
use crate::peer_message::PeerMessage;
use crate::request::{Request, RequestState};
use crate::scheduler::SchedulerEvent;
use crate::scheduling::{Bid, RunningRequest};
use crate::settings::Policy;

/// Time after which a bid without an answer is sent again, in milliseconds.
const BID_REPEAT_MS: u64 = 2_000;

impl Core {
    /// Sends a request that no longer waits for its key to the steward of its service.
    ///
    /// A request that runs is left alone: an earlier bid of the same round may have led this
    /// instance's own steward to grant it.
    pub(crate) fn request_grant(&mut self, now: Now, sequence: u64) {
        let Some(request) = self.requests.get_active_mut(sequence) else { return };
        if request.is_running() {
            return;
        }
        let bid = request.bid(now);
        let steward = self.steward_of(&bid.service);
        if let Some(request) = self.requests.get_active_mut(sequence) {
            request.add_step(now, format!("Placed a bid at steward {steward}."));
            request.state =
                RequestState::Waiting { bid_ms: now.monotonic_ms, steward: Some(steward.clone()) };
        }
        self.send_bid(now, &steward, bid);
    }

    /// Sends waiting and running requests to new stewards where the steward changed, or where the
    /// given steward is new to them.
    pub(crate) fn move_bids(&mut self, now: Now, renewed: Option<&Name>) {
        for sequence in self.requests.sequences_where(|request| !request.is_ended()) {
            self.move_request(now, sequence, renewed);
        }
    }

    /// Sends bids again that got no answer for a while.
    pub(crate) fn resend_overdue_bids(&mut self, now: Now) {
        let due = |request: &Request| match &request.state {
            RequestState::Waiting { bid_ms, .. } => bid_ms + BID_REPEAT_MS <= now.monotonic_ms,
            _ => false,
        };
        for sequence in self.requests.sequences_where(due) {
            self.request_grant(now, sequence);
        }
    }

    /// Sends all bids again, since grants were void until now.
    pub(crate) fn resend_grant_requests(&mut self, now: Now) {
        let waits = |request: &Request| matches!(request.state, RequestState::Waiting { .. });
        for sequence in self.requests.sequences_where(waits) {
            self.request_grant(now, sequence);
        }
    }

    /// Returns the instance that decides for a service.
    pub(crate) fn steward_of(&self, service: &Name) -> Name {
        let own_name = self.own_name();
        if self.settings.dispatch.policy != Policy::Steward {
            return own_name;
        }
        let mut candidates = self.membership.alive();
        candidates.retain(|name| !self.is_stopping(name));
        self.view.steward(service, &candidates).unwrap_or(own_name)
    }

    pub(crate) fn withdraw(&mut self, now: Now, steward: &Name, sequence: u64) {
        let Some(request) = self.requests.get(sequence) else { return };
        let service = request.arrival.service.clone();
        let request = request.id.clone();
        if *steward == self.own_name() {
            self.schedule(now, &service, SchedulerEvent::Withdraw { request });
            return;
        }
        self.send(steward, PeerMessage::Withdraw { request, service });
    }

    fn is_stopping(&self, name: &Name) -> bool {
        if *name == self.own_name() {
            return self.stop.is_some();
        }
        self.stopping_peers.binary_search(name).is_ok()
    }

    fn move_request(&mut self, now: Now, sequence: u64, renewed: Option<&Name>) {
        let Some(request) = self.requests.get(sequence) else { return };
        let service = request.arrival.service.clone();
        let steward = self.steward_of(&service);
        let is_new = |old: &Name| *old != steward || renewed == Some(&steward);
        match request.state.clone() {
            RequestState::Waiting { steward: Some(old), .. } if is_new(&old) => {
                if old != steward {
                    self.withdraw(now, &old, sequence);
                }
                self.request_grant(now, sequence);
            }
            RequestState::Running { steward: old, .. } if is_new(&old) => {
                self.report_running(now, sequence, steward);
            }
            _ => {}
        }
    }

    pub(crate) fn report_running(&mut self, now: Now, sequence: u64, new_steward: Name) {
        let Some(request) = self.requests.get_active_mut(sequence) else { return };
        let bid = request.bid(now);
        let service = bid.service.clone();
        let RequestState::Running { backend_server, output_tokens, steward } = &mut request.state
        else {
            return;
        };
        *steward = new_steward.clone();
        let running = RunningRequest {
            backend_server: backend_server.clone(),
            bid,
            output_tokens: *output_tokens,
        };
        if new_steward == self.own_name() {
            self.schedule(now, &service, SchedulerEvent::Running(running));
            return;
        }
        self.send(&new_steward, PeerMessage::Running(running));
    }

    fn send_bid(&mut self, now: Now, steward: &Name, bid: Bid) {
        if *steward == self.own_name() {
            let service = bid.service.clone();
            self.schedule(now, &service, SchedulerEvent::Bid(bid));
            return;
        }
        self.send(steward, PeerMessage::Bid(bid));
    }
}
