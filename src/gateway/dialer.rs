//! Opening of TCP connections, directly or another way.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::gateway::relayed_stream::RelayedStream;
use crate::name::Name;

/// Longest time to open a connection, in milliseconds.
pub(crate) const CONNECT_TIMEOUT_MS: u64 = 500;
/// Time after which a connection with unacknowledged data counts as lost (TCP_USER_TIMEOUT), in
/// milliseconds.
const UNACKNOWLEDGED_LIMIT_MS: u64 = 3_000;

/// A connection to a backend server.
pub(crate) enum Dialed {
    /// It ends there.
    Direct(TcpStream),
    /// It runs through another instance.
    Relayed {
        /// The other instance.
        via: Name,
        /// The connection.
        stream: RelayedStream<TcpStream>,
    },
}

/// Opens connections to backend servers.
#[async_trait(?Send)]
pub(crate) trait Dial {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if none could be opened.
    async fn dial(&self, backend_server: &Name, address: SocketAddr) -> io::Result<Dialed>;

    /// Returns whether an idle connection to the backend server may be used.
    fn may_reuse(&self, backend_server: &Name) -> bool;
}

/// Connects to the address of a backend server.
pub(crate) struct DirectDialer;

#[async_trait(?Send)]
impl Dial for DirectDialer {
    async fn dial(&self, _: &Name, address: SocketAddr) -> io::Result<Dialed> {
        connect(address, CONNECT_TIMEOUT_MS).await.map(Dialed::Direct)
    }

    fn may_reuse(&self, _: &Name) -> bool {
        true
    }
}

/// Opens a connection that closes if the other end stops acknowledging bytes.
///
/// # Errors
///
/// Returns an error if the connection could not be opened in this time, in milliseconds.
pub(crate) async fn connect(address: SocketAddr, limit_ms: u64) -> io::Result<TcpStream> {
    let limit = Duration::from_millis(limit_ms);
    let stream = timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "connecting timed out"))??;
    set_options(&stream)?;
    Ok(stream)
}

/// Has a connection send at once, and close if the other end stops acknowledging bytes.
///
/// # Errors
///
/// Returns an error if the system refuses an option.
pub(crate) fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let unacknowledged = Duration::from_millis(UNACKNOWLEDGED_LIMIT_MS);
    SockRef::from(stream).set_tcp_user_timeout(Some(unacknowledged))
}
