//! One link between two instances: a hello each way, then messages until it ends.

use std::future::pending;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use log::warn;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Bytes, Message};

use crate::error::Error;
use crate::log_target::PEER;
use crate::name::Name;
use crate::peer_codec::{PEER_FRAME_LIMIT_BYTES, decode, encode};
use crate::peer_hello::Hello;
use crate::peer_outboxes::OutboxReceiver;
use crate::peer_registry::{PeerRegistry, Registration};

/// The WebSocket of a link.
pub(crate) type Socket = WebSocketStream<TcpStream>;

/// Name in errors of a peer whose hello has not arrived yet.
const UNKNOWN_PEER: &str = "unknown";

/// Bytes read at once from a link; most messages are far smaller.
const READ_BUFFER_BYTES: usize = 4 * 1024;

/// Returns the configuration of the WebSocket of every link.
pub(crate) fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_frame_size(Some(PEER_FRAME_LIMIT_BYTES))
        .max_message_size(Some(PEER_FRAME_LIMIT_BYTES))
        .read_buffer_size(READ_BUFFER_BYTES)
}

/// Reads the peer's hello; `None` if the link ends or the hello can't be read.
pub(crate) async fn read_hello(socket: &mut Socket) -> Option<Hello> {
    let Some(Ok(Message::Binary(bytes))) = socket.next().await else { return None };
    match decode(UNKNOWN_PEER, &bytes) {
        Err(error) => {
            warn!(target: PEER, "{error}");
            None
        }
        Ok(hello) => Some(hello),
    }
}

/// Writes a hello; `None` if the link ends.
pub(crate) async fn write_hello(socket: &mut Socket, hello: &Hello) -> Option<()> {
    let bytes = encode(&hello.name, hello).ok()?;
    socket.send(Message::binary(bytes)).await.ok()
}

/// Exchanges messages until the link ends; returns whether it was ever the current one.
pub(crate) async fn run_link(registry: &PeerRegistry, socket: Socket, hello: Hello) -> bool {
    let Registration::Current { outbox, link_id } = registry.register(&hello) else { return false };
    let _guard = RegistrationGuard { link_id, peer: &hello.name, registry };
    let (sink, stream) = socket.split();
    tokio::select! {
        () = outbox.close_signal.notified() => {}
        () = read_messages(registry, stream, &hello, link_id) => {}
        () = write_messages(registry, sink, &hello.name, &outbox) => {}
    }
    true
}

/// Unregisters a link when it ends, also when its task is aborted.
struct RegistrationGuard<'a> {
    link_id: u64,
    peer: &'a Name,
    registry: &'a PeerRegistry,
}

impl Drop for RegistrationGuard<'_> {
    fn drop(&mut self) {
        self.registry.unregister(self.peer, self.link_id);
    }
}

/// Outcome of one read.
enum LinkRead {
    Bytes(Bytes),
    Control,
    Ended,
    Silent,
}

async fn read_messages(
    registry: &PeerRegistry,
    mut stream: SplitStream<Socket>,
    hello: &Hello,
    link_id: u64,
) {
    let silence_limit = Duration::from_millis(registry.settings.silence_limit_ms());
    loop {
        match read_next(&mut stream, silence_limit).await {
            LinkRead::Bytes(bytes) => match decode(&hello.name, &bytes) {
                Err(error) => return warn!(target: PEER, "{error}"),
                Ok(message) => registry.deliver(hello, link_id, bytes.len(), message),
            },
            LinkRead::Control => {}
            LinkRead::Ended => return,
            LinkRead::Silent => {
                return warn!(
                    target: PEER,
                    "Closing the link to '{}': nothing received for {} ms.",
                    hello.name,
                    silence_limit.as_millis()
                );
            }
        }
    }
}

async fn read_next(stream: &mut SplitStream<Socket>, silence_limit: Duration) -> LinkRead {
    match timeout(silence_limit, stream.next()).await {
        Err(_) => LinkRead::Silent,
        Ok(Some(Ok(Message::Binary(bytes)))) => LinkRead::Bytes(bytes),
        Ok(Some(Ok(Message::Close(_)) | Err(_)) | None) => LinkRead::Ended,
        Ok(Some(Ok(_))) => LinkRead::Control,
    }
}

async fn write_messages(
    registry: &PeerRegistry,
    mut sink: SplitSink<Socket, Message>,
    peer: &Name,
    outbox: &OutboxReceiver,
) {
    let ping_interval = Duration::from_millis(registry.settings.heartbeat_interval_ms);
    loop {
        let message = match timeout(ping_interval, outbox.messages.recv_async()).await {
            Ok(Ok(message)) => message,
            Ok(Err(_)) => break,
            Err(_) if sink.send(Message::Ping(Bytes::new())).await.is_ok() => continue,
            Err(_) => return,
        };
        let bytes = match encode(peer, &message) {
            Err(error) => return log_unsent(&error),
            Ok(bytes) => bytes,
        };
        let size_bytes = bytes.len() as u64;
        if sink.feed(Message::binary(bytes)).await.is_err() {
            return;
        }
        registry.bytes.sent_bytes.fetch_add(size_bytes, Ordering::Relaxed);
        if outbox.messages.is_empty() && sink.flush().await.is_err() {
            return;
        }
    }
    if sink.close().await.is_ok() {
        // The link ends when the reading side sees the peer's close, or nothing in time.
        pending::<()>().await;
    }
}

fn log_unsent(error: &Error) {
    warn!(target: PEER, "Encoding a message failed. {error}");
}
