//! Sends digests of this instance's state to other instances by datagrams, and receives theirs.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use log::{info, warn};
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use crate::error::Error;
use crate::gateway::boot_clock::boot_ms;
use crate::gateway::peer_digest::{decode_datagram, encode_datagram, encode_digest};
use crate::gateway::peer_table::HEARTBEAT_MS;
use crate::gateway::peer_update;
use crate::gateway::shared::Shared;

/// Longest datagram, in bytes.
const DATAGRAM_LIMIT_BYTES: usize = 60_000;
/// Time for which changes are batched before a digest is sent, in milliseconds.
const BATCH_DELAY_MS: u64 = 4;

/// Receives digests of other instances until the process ends.
pub(crate) async fn receive(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_LIMIT_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => receive_datagram(&shared, from, &buffer[..length]),
            Err(error) => {
                warn!(target: "peers", error:%; "A datagram could not be received.");
                sleep(Duration::from_millis(HEARTBEAT_MS)).await;
            }
        }
    }
}

fn receive_datagram(shared: &Rc<Shared>, from: std::net::SocketAddr, bytes: &[u8]) {
    let (envelope, digest) = match decode_datagram(bytes, from) {
        Ok(decoded) => decoded,
        Err(error) => {
            warn!(target: "peers", from:%, error:%; "Unreadable datagram ignored.");
            return;
        }
    };
    let outcome = shared.state.borrow_mut().receive_digest(boot_ms(), from, &envelope, &digest);
    if outcome.is_new {
        info!(
            target: "peers",
            instance = &*digest.instance,
            incarnation = digest.incarnation,
            version = digest.document_version;
            "Instance discovered or restarted."
        );
        shared.changed.notify_one();
    }
    if shared.state.borrow().lacks(&digest) {
        shared.read_now.notify_one();
        peer_update::start_fetch(shared, from.ip());
    }
    shared.dispatch_waiting();
}

/// Sends digests after changes and at each heartbeat, until the process ends.
pub(crate) async fn send(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    loop {
        let limit = Duration::from_millis(HEARTBEAT_MS);
        let changed = timeout(limit, shared.changed.notified()).await.is_ok();
        if changed {
            sleep(Duration::from_millis(BATCH_DELAY_MS)).await;
        }
        shared.state.borrow_mut().tick(boot_ms());
        if let Err(error) = send_digest(&shared, &socket) {
            warn!(target: "peers", error:%; "A digest could not be sent to other instances.");
        }
    }
}

fn send_digest(shared: &Rc<Shared>, socket: &UdpSocket) -> Result<(), Error> {
    let (digest, targets) = shared.state.borrow_mut().outgoing_digest(boot_ms());
    let digest = encode_digest(&digest)?;
    for (address, envelope) in targets {
        let datagram = encode_datagram(&envelope, &digest)?;
        match socket.try_send_to(&datagram, address) {
            Ok(_) => {}
            // The next digest replaces a lost one.
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(Error::io(format!("Sending to {address} failed"), error)),
        }
    }
    Ok(())
}
