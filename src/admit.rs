//! Admits requests: applies the rules, claims the idempotency key at its home and applies the
//! verdict.

use crate::answers;
use crate::core::Core;
use crate::effect::Effect;
use crate::event::Arrival;
use crate::final_answer::FinalAnswer;
use crate::inventory::ServiceKind;
use crate::name::Name;
use crate::now::Now;
use crate::peer_message::{KeyClaim, KeyVerdict, PeerMessage};
use crate::request::{Request, RequestState};
use crate::rules::{RuleQuery, apply_rules};
use crate::span_record::Hop;

/// Class of a request, as the rules set it.
struct RequestClass {
    deadline_ms: u64,
    idempotent: bool,
    tier: Name,
    tier_rank: u8,
}

/// Decision about a request that arrived.
enum Admission {
    /// Answer it at once.
    Answer(FinalAnswer),
    /// Claim its key first.
    Claim(RequestClass),
    /// Join the request with this number, which holds its key at this instance.
    Join(u64),
    /// Request a grant for it.
    Schedule(RequestClass),
}

impl Core {
    pub(crate) fn admit(&mut self, now: Now, arrival: Arrival) {
        let sequence = arrival.sequence;
        match self.admission(&arrival) {
            Admission::Answer(answer) => self.effects.push(Effect::Answer { answer, sequence }),
            Admission::Claim(class) => {
                self.accept(now, arrival, class);
                self.claim(now, sequence);
            }
            Admission::Join(holder) => self.effects.push(Effect::JoinLocal { holder, sequence }),
            Admission::Schedule(class) => {
                self.accept(now, arrival, class);
                self.request_grant(now, sequence);
            }
        }
    }

    pub(crate) fn answer_claim(&mut self, now: Now, claim: &KeyClaim) -> KeyVerdict {
        let eligibility = self.membership.eligibility(now);
        let is_home = self.view.home(&claim.key) == self.own_name() && self.stop.is_none();
        let list_version = self.view.list_version();
        let covered_from_ms = self.key_handover.covered_from_ms(&claim.key);
        self.key_home.claim_covered(
            now,
            claim,
            &eligibility,
            is_home,
            list_version,
            covered_from_ms,
        )
    }

    pub(crate) fn receive_verdict(
        &mut self,
        now: Now,
        home: &Name,
        key: &Name,
        sequence: u64,
        verdict: KeyVerdict,
    ) {
        let limit_ms = self.settings.keys.grant_limit_ms;
        let state = self.requests.get_active_mut(sequence).map(|request| request.state.clone());
        let Some(RequestState::Claiming { claimed_ms, .. }) = state else {
            self.release_late_grant(home, key, sequence, &verdict);
            return;
        };
        let elapsed_ms = now.monotonic_ms.saturating_sub(claimed_ms);
        if elapsed_ms > limit_ms {
            self.release_late_grant(home, key, sequence, &verdict);
            self.end_with(now, sequence, answers::key_home_silent());
            return;
        }
        self.add_step(now, sequence, format!("Key home {home} answered after {elapsed_ms} ms."));
        self.record_hop(now, sequence, Hop::KeyClaim, claimed_ms);
        if *home != self.own_name() {
            self.record_hop(now, sequence, Hop::PeerHop, claimed_ms);
        }
        self.apply_verdict(now, sequence, verdict);
    }

    fn accept(&mut self, now: Now, arrival: Arrival, class: RequestClass) {
        let deadline_ms = arrival.deadline_ms.unwrap_or(class.deadline_ms);
        let mut request = Request {
            arrived_ms: now.monotonic_ms,
            deadline_ms: now.monotonic_ms + deadline_ms,
            excluded: Vec::new(),
            granted_ms: 0,
            holds_key: false,
            id: self.request_id(arrival.sequence),
            state: RequestState::Waiting { requested_ms: now.monotonic_ms, coordinator: None },
            steps: Vec::new(),
            tier: class.tier,
            tier_rank: class.tier_rank,
            arrival,
        };
        let text = format!(
            "Arrived for service {} in tier {} with {deadline_ms} ms left.",
            request.arrival.service, request.tier
        );
        request.add_step(now, text);
        self.requests.insert(request);
    }

    fn admission(&self, arrival: &Arrival) -> Admission {
        if self.stop.is_some() {
            return Admission::Answer(answers::stopping());
        }
        if self.inventory.version == 0 {
            return Admission::Answer(answers::not_ready());
        }
        let class = match self.classify(arrival) {
            Ok(class) => class,
            Err(answer) => return Admission::Answer(answer),
        };
        match &arrival.key {
            Some(key) => self.admission_with_key(arrival, key, class),
            None if class.idempotent => Admission::Schedule(class),
            None => Admission::Answer(answers::missing_key()),
        }
    }

    fn admission_with_key(&self, arrival: &Arrival, key: &Name, class: RequestClass) -> Admission {
        let Some(holder) = self.requests.by_key(key) else { return Admission::Claim(class) };
        if let RequestState::Ended { ran: false, .. } = holder.state {
            return Admission::Claim(class);
        }
        if holder.arrival.fingerprint != arrival.fingerprint {
            return Admission::Answer(answers::key_with_other_body());
        }
        Admission::Join(holder.arrival.sequence)
    }

    fn apply_verdict(&mut self, now: Now, sequence: u64, verdict: KeyVerdict) {
        match verdict {
            KeyVerdict::BodyDiffers => {
                self.end_with(now, sequence, answers::key_with_other_body());
            }
            KeyVerdict::Granted => {
                if let Some(request) = self.requests.get_active_mut(sequence) {
                    request.holds_key = true;
                }
                self.request_grant(now, sequence);
            }
            KeyVerdict::Held { by } => {
                self.join_key_holder(now, sequence, &by);
            }
            KeyVerdict::Refused { reason, retry_after_ms } => {
                self.end_with(now, sequence, answers::key_refused(reason, retry_after_ms));
            }
            KeyVerdict::Unknown => self.end_with(now, sequence, answers::key_unknown()),
        }
    }

    fn claim(&mut self, now: Now, sequence: u64) {
        let list_version = self.view.list_version();
        let own_name = self.own_name();
        let Some(request) = self.requests.get_active_mut(sequence) else { return };
        let Some(key) = request.arrival.key.clone() else { return };
        let home = self.view.home(&key);
        request.state = RequestState::Claiming { claimed_ms: now.monotonic_ms, home: home.clone() };
        request.add_step(now, format!("Sent a claim to key home {home}."));
        let claim = KeyClaim {
            fingerprint: request.arrival.fingerprint,
            key: key.clone(),
            list_version,
            request: request.id.clone(),
            tier_rank: request.tier_rank,
        };
        if home != own_name {
            self.send(&home, PeerMessage::KeyClaim(claim));
            return;
        }
        let verdict = self.answer_claim(now, &claim);
        self.receive_verdict(now, &home, &key, sequence, verdict);
    }

    fn classify(&self, arrival: &Arrival) -> Result<RequestClass, FinalAnswer> {
        let query = RuleQuery {
            customer: &arrival.customer,
            path: &arrival.path,
            requested_tier: arrival.tier.as_deref(),
            service: &arrival.service,
        };
        let rule_match = apply_rules(&self.inventory, &query)
            .map_err(|error| answers::rule_violation(&error))?;
        if rule_match.service.kind != ServiceKind::Plain && arrival.prompt_tokens == 0 {
            return Err(answers::missing_prompt());
        }
        Ok(RequestClass {
            deadline_ms: rule_match.tier.deadline_ms,
            idempotent: rule_match.idempotent,
            tier: rule_match.tier.name.clone(),
            tier_rank: rule_match.tier.rank,
        })
    }

    /// Releases a key whose grant came too late or for a request that ended without running.
    fn release_late_grant(&mut self, home: &Name, key: &Name, sequence: u64, verdict: &KeyVerdict) {
        let granted = matches!(verdict, KeyVerdict::Granted);
        let ran = self.requests.get(sequence).is_some_and(|request| match request.state {
            RequestState::Ended { ran, .. } => ran,
            RequestState::Claiming { .. } => false,
            _ => true,
        });
        if granted && !ran {
            self.release_key_at(home, key, sequence);
        }
    }
}
