//! Reads a caller's request, has the state admit or refuse it, and relays it to backend servers.

use std::rc::Rc;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response};
use log::info;
use rand::random;
use tokio::time::sleep;
use xxhash_rust::xxh3::Xxh3;

use crate::gateway::admission::{Admission, Arrival, Refusal, RefusalReason, RequestPlan};
use crate::gateway::boot_clock::boot_ms;
use crate::gateway::exchange::CallerRequest;
use crate::gateway::plain_relay::relay_plain;
use crate::gateway::reply::{ReplyBody, refusal_response};
use crate::gateway::request_metadata::RequestMetadata;
use crate::gateway::routing_document::RouteKind;
use crate::gateway::shared::Shared;
use crate::gateway::state::RETRY_SOON_MS;
use crate::gateway::stream_relay::relay_stream;
use crate::intake::body_ledger::SMALL_BODY_BYTES;
use crate::intake::body_reader::{BodyBounds, BodyFault, discard_body, read_body};
use crate::intake::connection_gate::ConnectionSlot;
use crate::intake::connection_table::ConnectionStage;
use crate::name::Name;

/// Longest time for which a request is held while the instance joins the fleet, in milliseconds.
const JOIN_WAIT_MS: u64 = 250;
/// Time between two checks whether the instance has joined, in milliseconds.
const JOIN_CHECK_MS: u64 = 25;

/// Returns the answer to one request.
pub(crate) async fn forward(
    shared: Rc<Shared>,
    slot: &ConnectionSlot,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    let arrived_ms = boot_ms();
    let metadata = shared.wire.request_metadata(request.headers());
    let read = read_request(&shared, &metadata, request, arrived_ms).await;
    slot.set_stage(ConnectionStage::Answering);
    let request = match read {
        Ok(request) => request,
        Err(refusal) => return refuse_arrival(&shared, &metadata, &refusal, arrived_ms),
    };
    let host = host(&request.headers);
    let arrival = Arrival {
        arrived_ms,
        metadata: &metadata,
        fingerprint: fingerprint(&request, &metadata),
        host: &host,
        path: request.uri.path(),
    };
    match admit(&shared, &arrival).await {
        Admission::Forward(plan) => relay(shared, plan, request).await,
        Admission::Refuse(refusal) => refuse_arrival(&shared, &metadata, &refusal, arrived_ms),
    }
}

async fn relay(
    shared: Rc<Shared>,
    plan: RequestPlan,
    request: CallerRequest,
) -> Response<ReplyBody> {
    let waiting = WaitingCaller::new(&plan);
    let response = match plan.route.kind {
        RouteKind::Stream => relay_stream(shared, plan, request).await,
        RouteKind::Idempotent | RouteKind::Unsafe => relay_plain(shared, plan, request).await,
    };
    waiting.end();
    response
}

/// A caller whose answer has not begun; logs that it disconnects.
struct WaitingCaller {
    arrived_ms: u64,
    has_answer: bool,
    request_id: Name,
    route: Name,
}

impl WaitingCaller {
    fn new(plan: &RequestPlan) -> Self {
        Self {
            arrived_ms: plan.arrived_ms,
            has_answer: false,
            request_id: plan.request_id.clone(),
            route: plan.route.name.clone(),
        }
    }

    fn end(mut self) {
        self.has_answer = true;
    }
}

impl Drop for WaitingCaller {
    fn drop(&mut self) {
        if self.has_answer {
            return;
        }
        info!(
            target: "end",
            request = &*self.request_id,
            route = &*self.route,
            elapsed_ms = boot_ms().saturating_sub(self.arrived_ms);
            "Caller disconnected before its answer began."
        );
    }
}

/// Has the state admit a request; one that arrives while the instance joins the fleet is held for a
/// moment, since it is about to know what it needs.
async fn admit(shared: &Shared, arrival: &Arrival<'_>) -> Admission {
    loop {
        let now_ms = boot_ms();
        let admission = shared.state.borrow_mut().admit(now_ms, arrival, random());
        let joins = matches!(&admission, Admission::Refuse(refusal) if refusal.is_while_joining());
        if !joins || now_ms >= arrival.arrived_ms + JOIN_WAIT_MS {
            return admission;
        }
        sleep(Duration::from_millis(JOIN_CHECK_MS)).await;
    }
}

/// Refuses a request that was admitted and did not run, and refunds its charge.
pub(crate) fn rejection(
    shared: &Shared,
    plan: &RequestPlan,
    refusal: &Refusal,
) -> Response<ReplyBody> {
    shared.state.borrow_mut().refund(plan);
    let now_ms = boot_ms();
    let limited = shared.state.borrow().backends().limited_servers(now_ms, &plan.service);
    info!(
        target: "refuse",
        request = &*plan.request_id,
        route = &*plan.route.name,
        reason = refusal.reason.name(),
        held_ms = now_ms.saturating_sub(plan.arrived_ms),
        customer = plan.customer.as_ref().map(|customer| &*customer.name),
        waiting = shared.state.borrow().waiting_count(),
        coordinator_waiting = refusal.queue.map(|queue| queue.waiting),
        coordinator_ahead = refusal.queue.map(|queue| queue.ahead),
        expected_wait_ms = refusal.queue.map(|queue| queue.wait_ms),
        limited_servers = limited.count,
        least_limit_per_s = limited.least_per_s(),
        retry_after_ms = refusal.retry_after_ms;
        "Request refused after admission; it did not run."
    );
    shared.counters.record_refusal(refusal.reason);
    refusal_response(refusal)
}

fn refuse_arrival(
    shared: &Shared,
    metadata: &RequestMetadata,
    refusal: &Refusal,
    arrived_ms: u64,
) -> Response<ReplyBody> {
    let now_ms = boot_ms();
    shared.counters.record_refusal(refusal.reason);
    let Some(left_out) = shared.begin_refusal_line(now_ms, refusal.reason) else {
        return refusal_response(refusal);
    };
    let state = shared.state.borrow();
    info!(
        target: "refuse",
        request = metadata.request_id.as_deref(),
        reason = refusal.reason.name(),
        version = state.table().version(),
        proof_age_ms = state.proof_age_ms(now_ms),
        held_ms = now_ms.saturating_sub(arrived_ms),
        left_units = refusal.shortage.map(|shortage| shortage.left_units),
        needed_units = refusal.shortage.map(|shortage| shortage.needed_units),
        units_per_s = refusal.shortage.map(|shortage| shortage.units_per_s),
        body_bytes = shared.body_budget.held_bytes(),
        left_out,
        retry_after_ms = refusal.retry_after_ms;
        "Request refused on arrival."
    );
    refusal_response(refusal)
}

/// Reads the body of a request, and refuses one that its head decides without keeping its body.
async fn read_request(
    shared: &Shared,
    metadata: &RequestMetadata,
    request: Request<Incoming>,
    arrived_ms: u64,
) -> Result<CallerRequest, Refusal> {
    let (head, body) = request.into_parts();
    let mut bounds = body_bounds(shared, metadata, arrived_ms);
    bounds.check_length(&body).map_err(body_refusal)?;
    if may_be_large(&body) {
        match check_head(shared, metadata, &head, arrived_ms) {
            Ok(deadline_ms) => bounds.deadline_ms = deadline_ms,
            Err(refusal) => {
                // What of the body is left unread closes the connection.
                let _ = discard_body(body, &bounds).await;
                return Err(refusal);
            }
        }
    }
    let body = read_body(body, &bounds, &shared.body_budget).await.map_err(body_refusal)?;
    Ok(CallerRequest {
        body,
        headers: head.headers,
        method: head.method,
        uri: origin_form(head.uri),
    })
}

fn body_bounds(shared: &Shared, metadata: &RequestMetadata, arrived_ms: u64) -> BodyBounds {
    let state = shared.state.borrow();
    BodyBounds {
        deadline_ms: arrived_ms.saturating_add(metadata.time_left_ms.unwrap_or(u64::MAX)),
        limit_bytes: state.table().limits().body_bytes,
        silence_ms: state.settings().intake.body_silence_ms,
    }
}

fn may_be_large(body: &Incoming) -> bool {
    body.size_hint().upper().is_none_or(|length| length > SMALL_BODY_BYTES as u64)
}

/// Checks a head; one that arrives while the instance joins the fleet is decided with its body.
fn check_head(
    shared: &Shared,
    metadata: &RequestMetadata,
    head: &Parts,
    arrived_ms: u64,
) -> Result<u64, Refusal> {
    let host = host(&head.headers);
    let arrival =
        Arrival { arrived_ms, metadata, fingerprint: 0, host: &host, path: head.uri.path() };
    match shared.state.borrow_mut().check_head(boot_ms(), &arrival) {
        Err(refusal) if refusal.is_while_joining() => Ok(u64::MAX),
        decided => decided,
    }
}

fn body_refusal(fault: BodyFault) -> Refusal {
    match fault {
        BodyFault::Cut | BodyFault::Overdue => Refusal::permanent(RefusalReason::Incomplete),
        BodyFault::NoMemory => Refusal::retryable(RefusalReason::NoMemory, RETRY_SOON_MS),
        BodyFault::TooLong => Refusal::permanent(RefusalReason::BodyTooLong),
    }
}

fn origin_form(uri: hyper::Uri) -> hyper::Uri {
    let path = uri.path_and_query().map(|path| path.as_str()).unwrap_or("/");
    path.parse().unwrap_or(uri)
}

fn host(headers: &HeaderMap) -> String {
    let header = headers.get(HOST).and_then(|value| value.to_str().ok()).unwrap_or_default();
    let name = match header.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => header,
    };
    name.to_ascii_lowercase()
}

fn fingerprint(request: &CallerRequest, metadata: &RequestMetadata) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(request.uri.path().as_bytes());
    hash.update(metadata.key.as_deref().unwrap_or_default().as_bytes());
    hash.update(&request.body);
    hash.digest()
}
