//! Lets a caller take part in the answer to a request that runs or ran already.

use crate::answers;
use crate::core::Core;
use crate::effect::Effect;
use crate::final_answer::Outcome;
use crate::name::Name;
use crate::now::Now;
use crate::peer_message::PeerMessage;
use crate::request::RequestState;
use crate::request_id::RequestId;

impl Core {
    /// Cancels a request whose caller is gone.
    pub(crate) fn cancel(&mut self, now: Now, sequence: u64) {
        let Some(request) = self.requests.get(sequence) else { return };
        match request.state {
            RequestState::Ended { .. } => {}
            RequestState::Running { .. } => self.effects.push(Effect::Cancel { sequence }),
            _ => {
                self.withdraw_waiting(now, sequence);
                self.end_with(now, sequence, answers::cancelled_before_run());
            }
        }
    }

    pub(crate) fn cancel_key(&mut self, now: Now, key: &Name) {
        if let Some(sequence) = self.requests.by_key(key).map(|found| found.arrival.sequence) {
            self.cancel(now, sequence);
        }
    }

    pub(crate) fn join(&mut self, now: Now, sequence: u64, key: Name, from_peer: bool) {
        if let Some(holder) = self.requests.by_key(&key) {
            let holder_sequence = holder.arrival.sequence;
            if !matches!(holder.state, RequestState::Ended { ran: false, .. }) {
                self.effects.push(Effect::JoinLocal { holder: holder_sequence, sequence });
                return;
            }
            self.release_key(holder_sequence);
            self.answer_join(sequence, Outcome::NotRun);
            return;
        }
        if from_peer || self.inventory.version == 0 {
            self.answer_join(sequence, Outcome::Unknown);
            return;
        }
        let home = self.view.home(&key);
        if home == self.own_name() {
            let holder = self.key_home.holder(&key);
            self.take_holder(now, sequence, key, holder);
            return;
        }
        self.send(&home, PeerMessage::KeyQuery { key, sequence });
    }

    /// Answers a request whose key another request holds from that request's answer.
    pub(crate) fn join_holder(&mut self, now: Now, sequence: u64, holder: &RequestId) {
        let key = self.requests.get(sequence).and_then(|request| request.arrival.key.clone());
        let Some(key) = key else { return };
        self.note(now, sequence, format!("Request {holder} holds the key."));
        self.join_at(sequence, key, holder);
        if let Some(request) = self.requests.get_active_mut(sequence) {
            request.state = RequestState::Ended { outcome: Outcome::NotRun, ran: false };
        }
        self.requests.end(sequence, None);
    }

    pub(crate) fn take_holder(
        &mut self,
        _now: Now,
        sequence: u64,
        key: Name,
        holder: Option<RequestId>,
    ) {
        match holder {
            Some(holder) => self.join_at(sequence, key, &holder),
            None => self.answer_join(sequence, Outcome::Unknown),
        }
    }

    fn answer_join(&mut self, sequence: u64, outcome: Outcome) {
        self.effects.push(Effect::Answer { answer: answers::no_such_key(outcome), sequence });
    }

    fn join_at(&mut self, sequence: u64, key: Name, holder: &RequestId) {
        if holder.instance == self.own_name() {
            let is_here = *holder == self.request_id(holder.sequence)
                && self.requests.get(holder.sequence).is_some();
            match is_here {
                true => {
                    self.effects.push(Effect::JoinLocal { holder: holder.sequence, sequence });
                }
                false => self.answer_join(sequence, Outcome::Unknown),
            }
            return;
        }
        match self.inventory.instance(&holder.instance) {
            Some(instance) => {
                let address = instance.caller_address;
                self.effects.push(Effect::JoinPeer { address, key, sequence });
            }
            None => self.answer_join(sequence, Outcome::Unknown),
        }
    }
}
