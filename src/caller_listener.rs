//! The listening socket for callers.
//!
//! Accepted connections inherit its options.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use socket2::{Domain, Socket, TcpKeepalive, Type};

use crate::error::Error;

/// Maximum number of connections that wait to be accepted.
const BACKLOG_CONNECTIONS: i32 = 1_024;

/// Time between two keep-alive probes of a silent connection, in seconds.
const KEEPALIVE_INTERVAL_S: u64 = 1;

/// Unanswered keep-alive probes after which the connection counts as lost.
const KEEPALIVE_PROBES: u32 = 3;

/// Silence before the first keep-alive probe, in seconds.
const KEEPALIVE_TIME_S: u64 = 2;

/// Time after which a connection with unacknowledged data counts as lost, in milliseconds.
const UNACKNOWLEDGED_LIMIT_MS: u64 = 5_000;

/// Opens the listening socket.
///
/// # Errors
///
/// Returns an error if the address can't be listened on.
pub(crate) fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    let bind = || {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_tcp_nodelay(true)?;
        let keepalive = TcpKeepalive::new()
            .with_time(Duration::from_secs(KEEPALIVE_TIME_S))
            .with_interval(Duration::from_secs(KEEPALIVE_INTERVAL_S))
            .with_retries(KEEPALIVE_PROBES);
        socket.set_tcp_keepalive(&keepalive)?;
        socket.set_tcp_user_timeout(Some(Duration::from_millis(UNACKNOWLEDGED_LIMIT_MS)))?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG_CONNECTIONS)?;
        Ok(TcpListener::from(socket))
    };
    bind().map_err(|error| Error::io(format!("Listening for callers on {address} failed"), error))
}
