//! Joins a caller to the answer of a running or ended request, or cancels the request.

use crate::answers;
use crate::core::Core;
use crate::effect::Effect;
use crate::final_answer::{FinalAnswer, Outcome};
use crate::name::Name;
use crate::now::Now;
use crate::request::{Request, RequestState};
use crate::request_id::RequestId;

impl Core {
    /// Cancels a request that has not ended.
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

    /// Cancels the request of a key, here or at the instance that holds it.
    pub(crate) fn cancel_key(&mut self, now: Now, sequence: u64, key: Name, holder: Option<&str>) {
        let Some(found) = self.find_local_holder(&key, holder) else {
            self.look_up_elsewhere(now, sequence, key, holder);
            return;
        };
        if let RequestState::Ended { outcome, .. } = found.state {
            self.answer_caller(sequence, answers::already_ended(outcome));
            return;
        }
        let holder_sequence = found.arrival.sequence;
        self.cancel(now, holder_sequence);
        self.effects.push(Effect::Cancelling { sequence });
    }

    /// Joins a caller to the request of a key, here or at the instance that holds it.
    pub(crate) fn join(&mut self, now: Now, sequence: u64, key: Name, holder: Option<&str>) {
        let Some(found) = self.find_local_holder(&key, holder) else {
            self.look_up_elsewhere(now, sequence, key, holder);
            return;
        };
        let holder_sequence = found.arrival.sequence;
        self.join_local(sequence, holder_sequence);
    }

    /// Joins a request to the answer of another request that holds its key, and ends it.
    pub(crate) fn join_key_holder(&mut self, now: Now, sequence: u64, holder: &RequestId) {
        let key = self.requests.get(sequence).and_then(|request| request.arrival.key.clone());
        let Some(key) = key else { return };
        self.add_step(now, sequence, format!("Request {holder} holds the key."));
        self.route_join(sequence, key, holder);
        if let Some(request) = self.requests.get_active_mut(sequence) {
            request.state = RequestState::Ended { outcome: Outcome::NotRun, ran: false };
        }
        self.requests.end(sequence, None);
    }

    /// Receives the holder of a key from the home of the key, and joins the waiting caller to it.
    pub(crate) fn receive_holder(&mut self, sequence: u64, key: &Name, holder: Option<RequestId>) {
        if !self.take_lookup(sequence, key) {
            return;
        }
        match holder {
            Some(holder) => self.route_join(sequence, key.clone(), &holder),
            None => self.answer_caller(sequence, answers::no_such_key(Outcome::Unknown)),
        }
    }

    fn answer_caller(&mut self, sequence: u64, answer: FinalAnswer) {
        self.effects.push(Effect::Answer { answer, sequence });
    }

    /// Returns the request of a key at this instance.
    ///
    /// A peer names the request that holds the key, so that neither a request of an earlier
    /// incarnation nor another send of the key is mistaken for it. For a caller, a send that did
    /// not run here is no answer: another send of the key may have run elsewhere.
    fn find_local_holder(&self, key: &Name, holder: Option<&str>) -> Option<&Request> {
        let Some(holder) = holder else {
            let found = self.requests.by_key(key)?;
            return (!matches!(found.state, RequestState::Ended { ran: false, .. }))
                .then_some(found);
        };
        let (_, sequence) = holder.rsplit_once('-')?;
        let found = self.requests.get(sequence.parse().ok()?)?;
        let is_holder = found.id.to_string() == holder && found.arrival.key.as_ref() == Some(key);
        is_holder.then_some(found)
    }

    fn route_join(&mut self, sequence: u64, key: Name, holder: &RequestId) {
        if holder.instance == self.own_name() {
            match self.find_local_holder(&key, Some(&holder.to_string())) {
                Some(_) => self.join_local(sequence, holder.sequence),
                None => self.answer_caller(sequence, answers::no_such_key(Outcome::Unknown)),
            }
            return;
        }
        match self.inventory.instance(&holder.instance) {
            Some(instance) => {
                let address = instance.caller_address;
                let holder = holder.to_string().into();
                self.effects.push(Effect::JoinPeer { address, holder, key, sequence });
            }
            None => self.answer_caller(sequence, answers::no_such_key(Outcome::Unknown)),
        }
    }

    fn join_local(&mut self, sequence: u64, holder: u64) {
        let did_not_run = self
            .requests
            .get(holder)
            .is_some_and(|request| matches!(request.state, RequestState::Ended { ran: false, .. }));
        if did_not_run {
            self.release_key(holder);
            self.answer_caller(sequence, answers::no_such_key(Outcome::NotRun));
            return;
        }
        self.effects.push(Effect::JoinLocal { holder, sequence });
    }

    fn look_up_elsewhere(&mut self, now: Now, sequence: u64, key: Name, holder: Option<&str>) {
        if holder.is_some() || self.inventory.version == 0 {
            self.answer_caller(sequence, answers::no_such_key(Outcome::Unknown));
            return;
        }
        self.query_key_home(now, sequence, key);
    }
}
