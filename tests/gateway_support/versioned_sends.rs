//! The sends of a fleet with several versions, from their start to the end of the stream.

use bergamotspan::gateway::admission::{RefusalReason, RequestPlan};
use bergamotspan::gateway::backend::SendOutcome;
use bergamotspan::gateway::broken_sends::BrokenSend;
use bergamotspan::gateway::dispatching::{SendEnd, StartedSend};
use bergamotspan::gateway::engine_query::VersionNeed;
use rand::RngExt;

use super::{
    ATTEMPTS, BREAK_SHARE, DROP_SHARE, Engine, MAX_TRIES, Phase, Request, Sent, Timer,
    UNREACHABLE_LIMIT, VersionedFleet,
};

impl Engine {
    pub(super) fn is_serving(&self) -> bool {
        self.is_up && !self.is_leaving
    }
}

impl Request {
    pub(super) fn is_sent_to(&self, engine: usize) -> bool {
        matches!(&self.phase, Phase::Sent(sent) if sent.engine == engine)
    }
}

impl VersionedFleet {
    pub(super) fn begin_send(
        &mut self,
        number: u64,
        mut plan: RequestPlan,
        started_send: StartedSend,
    ) {
        let now_ms = self.now_ms();
        let Some(request) = self.requests.get_mut(&number) else { return };
        let state = self.fleet.states[request.at].as_mut().expect("its instance runs");
        if let Err(refusal) = state.recheck(now_ms, &plan) {
            state.end_send(now_ms, &started_send, &SendEnd::unused());
            return self.end_request(number, Some(refusal.reason));
        }
        request.tried.push(started_send.backend_server.clone());
        let is_target = |engine: &Engine| engine.is_up && engine.id == started_send.backend_server;
        let known = started_send.address.and_then(|_| self.engines.iter().position(is_target));
        let Some(engine) = known else {
            return self.fail_to_connect(number, plan, &started_send);
        };
        state.record_spent(now_ms, &mut plan);
        request.sends += 1;
        let send = request.sends;
        let id = started_send.backend_server.clone();
        let believed = started_send.software_version.clone();
        let sent = Sent { engine, event_ms: None, plan, sent_ms: now_ms, started_send };
        request.phase = Phase::Sent(Box::new(sent));
        let version = &self.engines[engine].record.software_version;
        let text = format!("sent to {id} of {version}, believed {believed:?}");
        self.note(number, text);
        let event_ms = self.random.random_range(60..200);
        self.add_timer(event_ms, Timer::FirstEvent { request: number, send });
    }

    fn fail_to_connect(&mut self, number: u64, plan: RequestPlan, started_send: &StartedSend) {
        let now_ms = self.now_ms();
        let Some(request) = self.requests.get_mut(&number) else { return };
        let at = request.at;
        request.unreachable += 1;
        let is_last = request.unreachable >= UNREACHABLE_LIMIT;
        // A backend server that is not known any more is not connected to.
        let end = match started_send.address {
            Some(_) => SendEnd::refused_connection(),
            None => SendEnd::unused(),
        };
        self.fleet.state(at).end_send(now_ms, started_send, &end);
        self.fleet.send_outbox(at);
        if is_last {
            self.end_request(number, Some(RefusalReason::NoBackendServer));
        } else {
            self.find_place(number, plan);
        }
    }

    pub(super) fn begin_events(&mut self, number: u64) {
        let now_ms = self.now_ms();
        let Some(request) = self.requests.get_mut(&number) else { return };
        let Phase::Sent(sent) = &mut request.phase else { return };
        let Some(stream) = self.streams.get_mut(&request.stream) else { return };
        let at = request.at;
        let state = self.fleet.states[at].as_mut().expect("its instance runs");
        state.record_first_event(now_ms, &sent.started_send, now_ms - sent.sent_ms);
        state.record_stream_start(now_ms, &sent.plan, &sent.started_send);
        if let Some(version) = sent.started_send.software_version.clone() {
            sent.plan.version_need = VersionNeed::Only(version);
        }
        sent.event_ms = Some(now_ms);
        self.tries[request.try_index].has_events = true;
        stream.first_id.get_or_insert_with(|| sent.plan.request_id.clone());
        let version = self.engines[sent.engine].record.software_version.clone();
        stream.trace.push(format!("{now_ms}: events of {version} at front {at}"));
        stream.begun += 1;
        let begun = stream.version.get_or_insert_with(|| version.clone());
        if *begun != version {
            self.broken.push(stream.trace.clone());
        }
        let (send, left_ms) = (request.sends, stream.left_ms);
        self.fleet.send_outbox(at);
        self.add_timer(left_ms, Timer::Complete { request: number, send });
        if self.random.random_bool(BREAK_SHARE) {
            let after_ms = self.random.random_range(1..=left_ms);
            self.add_timer(after_ms, Timer::Break { request: number, send });
        }
        if self.random.random_bool(DROP_SHARE) {
            let after_ms = self.random.random_range(1..=left_ms);
            self.add_timer(after_ms, Timer::Drop { request: number, send });
        }
    }

    /// Ends a request whose caller has lost the instance and takes the stream up elsewhere.
    pub(super) fn drop_request(&mut self, number: u64) {
        let now_ms = self.now_ms();
        let Some(mut request) = self.requests.remove(&number) else { return };
        self.keep_rest(&mut request);
        let Phase::Sent(sent) = &request.phase else { return };
        let mut end = SendEnd::new(SendOutcome::Abandoned);
        end.prompt_was_read = sent.event_ms.is_some();
        self.fleet.state(request.at).end_send(now_ms, &sent.started_send, &end);
        self.fleet.send_outbox(request.at);
        self.end_try(request, None);
    }

    pub(super) fn complete(&mut self, number: u64) {
        let now_ms = self.now_ms();
        let Some(request) = self.requests.remove(&number) else { return };
        let Phase::Sent(sent) = &request.phase else { return };
        let mut end = SendEnd::new(SendOutcome::Answered);
        end.place.slot_ms = Some(now_ms - sent.sent_ms);
        end.prompt_was_read = true;
        let state = self.fleet.state(request.at);
        state.record_answer(&sent.started_send.backend_server, request.stream);
        state.end_send(now_ms, &sent.started_send, &end);
        self.fleet.send_outbox(request.at);
        self.streams.remove(&request.stream);
        self.completed += 1;
    }

    /// Breaks a stream off; it goes on at another engine if the instance may try one.
    pub(super) fn break_send(&mut self, number: u64) {
        let now_ms = self.now_ms();
        let Some(mut request) = self.requests.remove(&number) else { return };
        self.keep_rest(&mut request);
        let Phase::Sent(sent) = &request.phase else { return };
        let Sent { plan, sent_ms, started_send, event_ms, .. } = &**sent;
        let prompt = plan.prompt.as_ref().filter(|_| event_ms.is_none());
        let state = self.fleet.states[request.at].as_mut().expect("its instance runs");
        state.record_broken_send(BrokenSend {
            backend_server: started_send.backend_server.clone(),
            broken_ms: now_ms,
            fingerprint: request.stream,
            sent_ms: *sent_ms,
            unstarted_parts: prompt.map(|prompt| prompt.shared_parts()).unwrap_or_default(),
        });
        let mut end = SendEnd::new(SendOutcome::Failed);
        end.prompt_was_read = event_ms.is_some();
        state.end_send(now_ms, started_send, &end);
        let may_retry = request.sends < ATTEMPTS && state.take_retry(now_ms, &plan.service);
        let mut plan = plan.clone();
        let at = request.at;
        self.fleet.send_outbox(at);
        if !may_retry {
            return self.end_try(request, None);
        }
        plan.wanted_ms = now_ms;
        self.requests.insert(number, request);
        self.note(number, "broken off".to_owned());
        self.find_place(number, plan);
    }

    /// Takes the events that the caller has from the rest of its stream.
    pub(super) fn keep_rest(&mut self, request: &mut Request) {
        let now_ms = self.now_ms();
        let Phase::Sent(sent) = &request.phase else { return };
        if let (Some(event_ms), Some(stream)) =
            (sent.event_ms, self.streams.get_mut(&request.stream))
        {
            stream.left_ms = stream.left_ms.saturating_sub(now_ms - event_ms).max(100);
        }
    }

    pub(super) fn end_request(&mut self, number: u64, refused: Option<RefusalReason>) {
        if let Some(request) = self.requests.remove(&number) {
            self.end_try(request, refused);
        }
    }

    /// Ends a try of a caller, who tries again later.
    pub(super) fn end_try(&mut self, request: Request, refused: Option<RefusalReason>) {
        let now_ms = self.now_ms();
        let known = &mut self.tries[request.try_index];
        known.ended_ms = now_ms;
        known.refused = refused;
        if let Some(stream) = self.streams.get_mut(&request.stream) {
            stream.trace.push(format!("{now_ms}: ended at front {}, {refused:?}", request.at));
            if known.is_counted && refused == Some(RefusalReason::UnknownStream) {
                self.unknown.push(stream.trace.clone());
            }
        }
        self.try_later(request.stream);
    }

    pub(super) fn try_later(&mut self, number: u64) {
        let after_ms = self.random.random_range(20..250);
        let due_ms = self.now_ms() + after_ms;
        let Some(stream) = self.streams.get(&number) else { return };
        if stream.tries >= MAX_TRIES || due_ms >= stream.deadline_ms {
            self.streams.remove(&number);
        } else {
            self.add_timer(after_ms, Timer::Try(number));
        }
    }

    pub(super) fn note(&mut self, number: u64, text: String) {
        let now_ms = self.now_ms();
        let Some(request) = self.requests.get(&number) else { return };
        if let Some(stream) = self.streams.get_mut(&request.stream) {
            stream.trace.push(format!("{now_ms}: at front {}, {text}", request.at));
        }
    }
}
