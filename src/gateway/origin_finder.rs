//! Finds by which software version a stream was begun that a caller takes up.

use std::net::SocketAddr;
use std::time::Duration;

use log::info;
use tokio::time::timeout;

use crate::gateway::admission::{Refusal, RefusalReason, RequestPlan};
use crate::gateway::boot_clock::boot_ms;
use crate::gateway::fleet::message::Body;
use crate::gateway::fleet::origin_homes::OriginLookup;
use crate::gateway::fleet::origin_message::OriginAsk;
use crate::gateway::fleet::pending_origin::{OriginSource, OriginStep, PATIENCE_MS, PendingOrigin};
use crate::gateway::shared::Shared;
use crate::gateway::state::RETRY_SOON_MS;
use crate::gateway::stream_origins::StreamOrigin;

/// Answer of an instance to a question for the origin of a stream.
pub(crate) type OriginReport = (SocketAddr, Option<(StreamOrigin, OriginSource)>);
/// Delivers the answers to a question for the origin of a stream.
pub(crate) type OriginAsker = flume::Sender<OriginReport>;

/// Limits a request that takes up a stream to the version that began it.
///
/// # Errors
///
/// Returns the refusal if that version is not known, or may not serve the request.
pub(crate) async fn find_origin(shared: &Shared, plan: &mut RequestPlan) -> Result<(), Refusal> {
    let Some(resumption) = &plan.resumption else { return Ok(()) };
    let first_request = resumption.first_request_id.clone();
    let lookup = shared.state.borrow_mut().look_up_origin(boot_ms(), plan);
    let found = match lookup {
        OriginLookup::Known(origin, source) => Some((origin, source)),
        OriginLookup::Ask(ask, pending) => ask_homes(shared, &ask, pending).await,
    };
    info!(
        target: "resume",
        request = &*plan.request_id,
        first_request = first_request.as_deref(),
        service = found.as_ref().map(|(origin, _)| &*origin.service),
        software_version = found.as_ref().map(|(origin, _)| &*origin.software_version),
        source = found.as_ref().map(|(_, source)| source.name()),
        elapsed_ms = boot_ms().saturating_sub(plan.arrived_ms),
        proof_age_ms = shared.state.borrow().proof_age_ms(boot_ms());
        "Caller takes up a stream."
    );
    shared.counters.record_resumption(found.as_ref().map(|(_, source)| *source));
    let Some((origin, _)) = found else {
        return Err(Refusal::retryable(RefusalReason::UnknownStream, RETRY_SOON_MS));
    };
    shared.state.borrow().resume_at(plan, origin)
}

/// Removes the channel of a question when it is answered or its caller disconnects.
struct QuestionGuard<'a> {
    number: u64,
    shared: &'a Shared,
}

impl Drop for QuestionGuard<'_> {
    fn drop(&mut self) {
        self.shared.remove_origin_asker(self.number);
    }
}

async fn ask_homes(
    shared: &Shared,
    ask: &OriginAsk,
    mut pending: PendingOrigin,
) -> Option<(StreamOrigin, OriginSource)> {
    let answers = shared.add_origin_asker(ask.number);
    let _guard = QuestionGuard { number: ask.number, shared };
    let mut step = pending.on_silence();
    loop {
        match step {
            OriginStep::Ask(to) => {
                let body = Body::OriginAsk(ask.clone());
                shared.state.borrow_mut().fleet_mut().send_to_all(to, body);
                shared.flush();
            }
            OriginStep::Found(origin, source) => return Some((origin, source)),
            OriginStep::Unknown => return None,
            OriginStep::Wait => {}
        }
        let limit = Duration::from_millis(PATIENCE_MS);
        step = match timeout(limit, answers.recv_async()).await {
            Ok(Ok((from, answer))) => pending.on_answer(from, answer),
            Ok(Err(_)) | Err(_) => pending.on_silence(),
        };
    }
}
