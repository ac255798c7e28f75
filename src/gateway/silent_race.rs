//! Opens a silent stream at another backend server while its own may still go on.

use std::pin::pin;

use crate::gateway::backend_stream::{BackendStream, Split, StreamRead};
use crate::gateway::boot_clock::boot_ms;
use crate::gateway::broken_sends::BrokenSend;
use crate::gateway::event_splitter::CompleteEvents;
use crate::gateway::exchange::SendFailure;
use crate::gateway::relay::FinalFailure;
use crate::gateway::stream_relay::{OpenOutcome, StreamRelay};

/// Who has a stream that was silent.
pub(crate) enum Race {
    /// Its backend server went on with these events, or with its end.
    GoesOn(BackendStream, Option<CompleteEvents>),
    /// Its backend server, since no other one takes it.
    Kept(BackendStream, FinalFailure),
    /// This became of it at another one; the send to its own has ended.
    Opened(OpenOutcome),
}

/// Opens a stream at another backend server, until that one accepts it or its own goes on.
///
/// A part of an event does not count as going on, since a backend server may stop inside of one.
pub(crate) async fn race_successor(
    stream_relay: &mut StreamRelay,
    mut silent: BackendStream,
) -> Race {
    let relay = &mut stream_relay.relay;
    let (shared, request_id) = (relay.shared.clone(), relay.plan.request_id.clone());
    let broken_send = relay.broken_send(&silent.guard);
    let progress = relay.next_progress();
    let mut successor = pin!(stream_relay.open_successor());
    let failure = loop {
        let read = tokio::select! {
            biased;
            read = silent.read() => read,
            opened = &mut successor => match opened {
                OpenOutcome::Fail(failure) => return Race::Kept(silent, failure),
                opened => {
                    let lacks_bytes = silent.release_silent(&request_id);
                    return Race::Opened(checked(opened, lacks_bytes));
                }
            },
            () = progress.accepted() => {
                let lacks_bytes = silent.release_silent(&request_id);
                return Race::Opened(checked(successor.await, lacks_bytes));
            }
        };
        let bytes = match read {
            StreamRead::Bytes(bytes) => bytes,
            StreamRead::Broken(error) => break SendFailure::ConnectionBroken(error),
            _ => return Race::GoesOn(silent, None),
        };
        let backend_server = &silent.guard.started_send().backend_server;
        shared.state.borrow_mut().record_activity(boot_ms(), backend_server);
        match silent.split(&bytes) {
            Split::Events(events) => return Race::GoesOn(silent, Some(events)),
            Split::Nothing => {}
            Split::Wrong(reason) => break SendFailure::WrongAnswer(reason),
        }
        if let Some(fault) = silent.splitter.fault() {
            break SendFailure::WrongAnswer(fault.to_string());
        }
    };
    if matches!(failure, SendFailure::ConnectionBroken(_)) {
        let broken_send = BrokenSend { broken_ms: boot_ms(), ..broken_send };
        // The answer had begun, so no prompt part is left to be proved.
        shared.state.borrow_mut().record_broken_send(broken_send);
    }
    let lacks_bytes = silent.end_interrupted(&request_id, &failure);
    Race::Opened(checked(successor.await, lacks_bytes))
}

/// Returns what became of a stream at another backend server; an answer without events is not its
/// end if the caller lacks bytes of an event.
fn checked(opened: OpenOutcome, lacks_bytes: bool) -> OpenOutcome {
    match opened {
        OpenOutcome::Answer(_) if lacks_bytes => {
            let cause = "event_missing";
            OpenOutcome::Fail(FinalFailure::MayHaveRun { cause, timed_out: false })
        }
        opened => opened,
    }
}
