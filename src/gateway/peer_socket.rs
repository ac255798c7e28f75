//! Sends the datagrams of this instance to other instances, and receives theirs.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::{info, warn};
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use crate::error::Error;
use crate::gateway::boot_clock::boot_ms;
use crate::gateway::fleet::coordinators::Decider;
use crate::gateway::fleet::membership::Outgoing;
use crate::gateway::fleet::message::{
    Message, PlaceAnswer, PlaceVerdict, decode_datagram, encode_datagram, encode_message,
};
use crate::gateway::fleet::reporting::TICK_MS;
use crate::gateway::peer_update;
use crate::gateway::shared::Shared;
use crate::gateway::store_watch::log_change;

/// Longest datagram, in bytes.
const DATAGRAM_LIMIT_BYTES: usize = 60_000;
/// Time between two log lines on the bytes sent to other instances, in milliseconds.
const BYTES_LOG_MS: u64 = 30_000;
/// Time for which changes are batched before a report is sent, in milliseconds.
const BATCH_DELAY_MS: u64 = 4;

/// Receives datagrams of other instances until the process ends.
pub(crate) async fn receive(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_LIMIT_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => receive_datagram(&shared, from, &buffer[..length]),
            Err(error) => {
                warn!(target: "peers", error:%; "A datagram could not be received.");
                sleep(Duration::from_millis(TICK_MS)).await;
            }
        }
    }
}

fn receive_datagram(shared: &Rc<Shared>, from: SocketAddr, bytes: &[u8]) {
    let (envelope, message) = match decode_datagram(bytes, from) {
        Ok(decoded) => decoded,
        Err(error) => {
            warn!(target: "peers", from:%, error:%; "Unreadable datagram ignored.");
            return;
        }
    };
    let instance = message.sender.instance.clone();
    let incarnation = message.sender.incarnation;
    let received = shared.state.borrow_mut().receive_message(boot_ms(), from, &envelope, message);
    if received.is_new {
        info!(
            target: "peers",
            instance = &*instance,
            incarnation;
            "Instance discovered or restarted."
        );
    }
    for state_change in &received.state_changes {
        log_change(shared, state_change);
    }
    if received.is_new || received.is_urgent {
        shared.report_soon.notify_one();
    }
    if received.reads_store || received.fetches_update {
        shared.read_now.notify_one();
    }
    if received.fetches_update {
        peer_update::start_fetch(shared, from.ip());
    }
    if let Some(answer) = received.origin {
        shared.deliver_origin(from, answer);
    }
    if let Some(PlaceAnswer { number, verdict }) = received.answer
        && let Some(PlaceVerdict::Granted(_)) =
            shared.deliver_answer(number, verdict, received.queue)
    {
        // Nobody waits for this place any more.
        shared.state.borrow_mut().abandon_place(from, number);
    }
    shared.dispatch_waiting();
}

/// Sends reports when they are due and soon after changes, until the process ends.
pub(crate) async fn report(shared: Rc<Shared>) {
    let mut decider = Decider::None;
    let mut bytes_logged_ms = boot_ms();
    loop {
        let now_ms = boot_ms();
        shared.state.borrow_mut().tick(now_ms);
        shared.dispatch_waiting();
        decider = log_decider_change(&shared, now_ms, decider);
        if now_ms >= bytes_logged_ms + BYTES_LOG_MS {
            bytes_logged_ms = now_ms;
            let bytes = shared.counters.peer_bytes();
            let largest_bytes = shared.counters.peer_largest_bytes();
            info!(
                target: "peers",
                bytes:?,
                largest_bytes:?;
                "Bytes sent to other instances since the start."
            );
        }
        let limit = Duration::from_millis(TICK_MS);
        let changed = timeout(limit, shared.report_soon.notified()).await.is_ok();
        if changed {
            sleep(Duration::from_millis(BATCH_DELAY_MS)).await;
        }
    }
}

/// Logs a change of who decides on the places of the cell, and returns the present decider.
fn log_decider_change(shared: &Shared, now_ms: u64, before: Decider) -> Decider {
    let state = shared.state.borrow();
    let decider = state.fleet().decider(now_ms);
    if decider != before {
        let layout = state.fleet().layout();
        info!(
            target: "peers",
            decider:?,
            before:?,
            cell = layout.own,
            cells = layout.count(),
            instances = state.fleet().known_count(now_ms),
            live = state.fleet().live_count(now_ms);
            "Coordinator of the cell changed."
        );
    }
    decider
}

/// Sends the datagrams in the outbox.
pub(crate) fn send_outbox(shared: &Shared, socket: &UdpSocket) {
    let (outbox, parts) = {
        let mut state = shared.state.borrow_mut();
        let parts = state.take_usage_parts(boot_ms());
        (state.fleet_mut().take_outbox(), parts)
    };
    let outbox = outbox.into_iter().map(|Outgoing { to, body, note }| {
        let message = shared.state.borrow().message_with_note(boot_ms(), body, note);
        (to, message)
    });
    for (to, message) in outbox.chain(parts.into_iter().map(|(to, part)| (vec![to], part))) {
        if let Err(error) = send(shared, socket, to, &message) {
            warn!(target: "peers", error:%; "A datagram could not be sent to other instances.");
        }
    }
}

fn send(
    shared: &Shared,
    socket: &UdpSocket,
    receivers: Vec<SocketAddr>,
    message: &Message,
) -> Result<(), Error> {
    let state = shared.state.borrow();
    let now_ms = boot_ms();
    let kind = message.body.kind();
    let message = encode_message(message)?;
    shared.counters.record_peer_message(kind, message.len(), receivers.len());
    for to in receivers {
        let datagram = encode_datagram(&state.fleet().roster().envelope(now_ms, to), &message)?;
        match socket.try_send_to(&datagram, to) {
            Ok(_) => {}
            // Reports are repeated, and a request for a place is sent again.
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(Error::io(format!("Sending to {to} failed"), error)),
        }
    }
    Ok(())
}
