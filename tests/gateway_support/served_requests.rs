//! The requests of a served fleet, from their arrival to the ends of their sends.

use bergamotspan::gateway::admission::{Admission, Arrival, RefusalReason};
use bergamotspan::gateway::backend::SendOutcome;
use bergamotspan::gateway::broken_sends::BrokenSend;
use bergamotspan::gateway::dispatching::{SendEnd, StartedSend};
use bergamotspan::gateway::request_metadata::{PromptPart, PromptShape, RequestMetadata};
use bergamotspan::gateway::state::GatewayState;
use rand::RngExt;

use super::{CallerRequest, Cut, Phase, SOUND_PARTS, Sent, ServedFleet, SoundRequest, Timer};
use crate::gateway_support::{HOST, metadata};
use crate::placer::{PlaceResult, PlaceSearch};

/// First parts of sound prompts that bad ones have as well: 1 to this number.
const SHARED_PARTS: u64 = 8;
/// First parts that only bad prompts have start here.
const OTHER_PARTS: u64 = 100;
/// Bad parts start here.
const BAD_PARTS: u64 = 1_000;
/// Last parts, which no two prompts share, start here.
const LAST_PARTS: u64 = 1_000_000;
/// Time from the arrival of a bad request until its engine ends, in milliseconds.
const CRASH_MS: u64 = 100;
/// Time from the first event of an answer to its end, in milliseconds.
const ANSWER_MS: u64 = 1_000;
/// Number of unreachable engines after which a request is refused.
const UNREACHABLE_LIMIT: usize = 3;
/// Longest time to open a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;

impl ServedFleet {
    pub(super) fn receive_arrivals(&mut self) {
        // One sound request in each step of 10 ms on average.
        for _ in 0..self.random.random_range(0..3) {
            let first = self.random.random_range(1..=SOUND_PARTS);
            self.receive_request(vec![first], false);
        }
        if self.traffic.bad_parts > 0 && self.random.random_bool(self.traffic.bad_per_s / 100.0) {
            let base = if self.random.random_bool(0.5) { 0 } else { OTHER_PARTS };
            let first = base + self.random.random_range(1..=SHARED_PARTS);
            let bad = BAD_PARTS + self.random.random_range(0..self.traffic.bad_parts);
            self.bad_arrivals += 1;
            self.receive_request(vec![first, bad], true);
        }
    }

    fn receive_request(&mut self, shared_parts: Vec<u64>, is_bad: bool) {
        let now_ms = self.now_ms();
        let ready = self.fleet.live().filter(|(_, state)| state.is_ready(now_ms));
        let ready: Vec<usize> = ready.map(|(index, _)| index).collect();
        if ready.is_empty() {
            return;
        }
        let at = ready[self.random.random_range(0..ready.len())];
        let number = self.new_number();
        let is_resumable = self.random.random_bool(0.5);
        let path = if is_resumable { "/draft/a" } else { "/once/a" };
        let metadata = RequestMetadata {
            prompt: Some(prompt(&shared_parts, LAST_PARTS + number)),
            ..metadata(&format!("r-{number}"))
        };
        let arrival = Arrival {
            arrived_ms: now_ms,
            metadata: &metadata,
            fingerprint: number,
            host: HOST,
            path,
        };
        let admission = self.fleet.state(at).admit(now_ms, &arrival, 0);
        let sound_index = (!is_bad).then_some(self.sound.len());
        let refused = match &admission {
            Admission::Forward(_) => None,
            Admission::Refuse(refusal) => Some(refusal.reason),
        };
        if !is_bad {
            self.sound.push(SoundRequest { arrived_ms: now_ms, at, has_begun: false, refused });
        }
        let Admission::Forward(plan) = admission else { return };
        let request = CallerRequest {
            at,
            arrived_ms: now_ms,
            fingerprint: number,
            is_bad,
            phase: Phase::Placing,
            plan,
            sends: 0,
            sound_index,
            tried: Vec::new(),
            unreachable: 0,
        };
        self.requests.insert(number, request);
        self.find_place(number);
    }

    fn request(&mut self, number: u64) -> (&mut CallerRequest, &mut GatewayState) {
        let request = self.requests.get_mut(&number).expect("in progress");
        let state = self.fleet.states[request.at].as_mut().expect("its instance runs");
        (request, state)
    }

    fn find_place(&mut self, number: u64) {
        let request = self.requests.get_mut(&number).expect("in progress");
        request.phase = Phase::Placing;
        let search = PlaceSearch::new(request.at, request.plan.clone(), request.tried.clone());
        self.placer.start(&mut self.fleet, number, search);
        self.take_places();
    }

    pub(super) fn take_places(&mut self) {
        while let Some(PlaceResult { number, search, found }) = self.placer.results.pop() {
            let Some(request) = self.requests.get_mut(&number) else { continue };
            request.plan = search.plan;
            match found {
                Ok(started_send) => self.begin_send(number, started_send),
                Err(reason) => self.refuse(number, reason),
            }
        }
    }

    pub(super) fn begin_send(&mut self, number: u64, started_send: StartedSend) {
        let now_ms = self.now_ms();
        let (request, state) = self.request(number);
        if let Err(refusal) = state.recheck(now_ms, &request.plan) {
            state.end_send(now_ms, &started_send, &SendEnd::unused());
            return self.refuse(number, refusal.reason);
        }
        request.tried.push(started_send.backend_server.clone());
        let at = request.at;
        match self.cuts[at] {
            None => {}
            // A backend server that is not known any more is not connected to.
            Some(Cut::TimedOut) if started_send.address.is_some() => {
                return self.begin_connect(number, started_send);
            }
            Some(_) => return self.fail_to_connect(number, &started_send, refused(&started_send)),
        }
        let Some(engine) = self.running_engine(&started_send.backend_server) else {
            if started_send.address.is_some() {
                self.sends_to_gone.push((now_ms, at));
            }
            return self.fail_to_connect(number, &started_send, refused(&started_send));
        };
        let run = self.engines[engine].runs;
        let (request, state) = self.request(number);
        state.record_spent(now_ms, &mut request.plan);
        request.sends += 1;
        let (is_bad, send) = (request.is_bad, request.sends);
        let sent = Sent { engine, has_started: false, sent_ms: now_ms, started_send };
        request.phase = Phase::Sent(sent);
        if is_bad {
            self.bad_sends_ms.push(now_ms);
            self.add_timer(now_ms + CRASH_MS, Timer::Crash { engine, run });
        } else {
            let event_ms = now_ms + self.random.random_range(60..200);
            self.add_timer(event_ms, Timer::FirstEvent { request: number, send });
        }
    }

    fn begin_connect(&mut self, number: u64, started_send: StartedSend) {
        let place = started_send.place;
        self.request(number).0.phase = Phase::Connecting(started_send);
        let timer = Timer::ConnectTimeout { request: number, place };
        self.add_timer(self.now_ms() + CONNECT_TIMEOUT_MS, timer);
    }

    pub(super) fn time_out(&mut self, number: u64, place: u64) {
        let Some(request) = self.requests.get(&number) else { return };
        let Phase::Connecting(started_send) = &request.phase else { return };
        if started_send.place == place {
            let started_send = started_send.clone();
            let end = SendEnd::new(SendOutcome::Unreachable);
            self.fail_to_connect(number, &started_send, end);
        }
    }

    fn fail_to_connect(&mut self, number: u64, started_send: &StartedSend, end: SendEnd) {
        let now_ms = self.now_ms();
        let (request, state) = self.request(number);
        let at = request.at;
        request.unreachable += 1;
        let is_last = request.unreachable >= UNREACHABLE_LIMIT;
        let engine = started_send.backend_server.clone();
        let awaits_proof = state.awaits_crash_proof(now_ms, &engine);
        state.end_send(now_ms, started_send, &end);
        self.fleet.send_outbox(at);
        if end.was_refused && awaits_proof {
            self.find_crash(at, engine);
        }
        if is_last {
            self.refuse(number, RefusalReason::NoBackendServer);
        } else {
            self.find_place(number);
        }
    }

    pub(super) fn begin_answer(&mut self, number: u64, send: u32) {
        let now_ms = self.now_ms();
        if !self.requests.contains_key(&number) {
            return;
        }
        let (request, state) = self.request(number);
        let Phase::Sent(sent) = &mut request.phase else { return };
        if request.sends != send {
            return;
        }
        sent.has_started = true;
        let elapsed_ms = now_ms - sent.sent_ms;
        state.record_first_event(now_ms, &sent.started_send, elapsed_ms);
        let (at, sends, sound_index) = (request.at, request.sends, request.sound_index);
        self.fleet.send_outbox(at);
        if let Some(index) = sound_index {
            self.sound[index].has_begun = sends == 1;
        }
        self.add_timer(now_ms + ANSWER_MS, Timer::EndAnswer { request: number });
    }

    pub(super) fn end_answer(&mut self, number: u64) {
        let now_ms = self.now_ms();
        if !self.requests.contains_key(&number) {
            return;
        }
        let (request, state) = self.request(number);
        let Phase::Sent(sent) = &request.phase else { return };
        let mut end = SendEnd::new(SendOutcome::Answered);
        end.place.slot_ms = Some(now_ms - sent.sent_ms);
        end.prompt_was_read = true;
        state.record_answer(&sent.started_send.backend_server, request.fingerprint);
        state.end_send(now_ms, &sent.started_send, &end);
        let at = request.at;
        self.fleet.send_outbox(at);
        self.requests.remove(&number);
    }

    pub(super) fn break_send(&mut self, number: u64) {
        let now_ms = self.now_ms();
        let (request, state) = self.request(number);
        let Phase::Sent(sent) = &request.phase else { return };
        let sent = sent.clone();
        let prompt = request.plan.prompt.as_ref().filter(|_| !sent.has_started);
        let is_unproved = state.record_broken_send(BrokenSend {
            backend_server: sent.started_send.backend_server.clone(),
            broken_ms: now_ms,
            fingerprint: request.fingerprint,
            sent_ms: sent.sent_ms,
            unstarted_parts: prompt.map(|prompt| prompt.shared_parts()).unwrap_or_default(),
        });
        let mut end = SendEnd::new(SendOutcome::Failed);
        end.prompt_was_read = sent.has_started;
        state.end_send(now_ms, &sent.started_send, &end);
        let may_retry = !sent.has_started
            && request.plan.route.is_repeatable()
            && request.sends < request.plan.route.attempts
            && state.take_retry(now_ms, &request.plan.service);
        let at = request.at;
        self.fleet.send_outbox(at);
        if is_unproved {
            self.find_crash(at, sent.started_send.backend_server);
        }
        if may_retry {
            self.find_place(number);
        } else {
            self.requests.remove(&number);
        }
    }
}

/// Returns the end of a send that was refused a connection; a backend server that is not known any
/// more is not connected to.
fn refused(started_send: &StartedSend) -> SendEnd {
    match started_send.address {
        Some(_) => SendEnd::refused_connection(),
        None => SendEnd::unused(),
    }
}

fn prompt(shared_parts: &[u64], last: u64) -> PromptShape {
    let parts = shared_parts.iter().copied().chain([last]);
    let parts: Vec<_> = parts.map(|id| PromptPart { id, tokens: 100 }).collect();
    PromptShape {
        likely_output_tokens: Some(100),
        most_output_tokens: 200,
        prompt_tokens: 100 * parts.len() as u64,
        parts,
    }
}
