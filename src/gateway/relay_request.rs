//! The request for a connection to a backend server through another instance.

use std::net::SocketAddr;
use std::pin::pin;

use bytes::Bytes;
use futures_util::future::{Either, select};
use http_body_util::Empty;
use hyper::client::conn::http1::Builder;
use hyper::header::{CONNECTION, HOST, HeaderValue, UPGRADE};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use percent_encoding::{NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};

use thiserror::Error;
use tokio::net::TcpStream;

use crate::gateway::dialer::connect;
use crate::gateway::relayed_stream::RelayedStream;
use crate::name::Name;

/// Path at which an instance opens connections to backend servers for others.
pub(crate) const RELAY_PATH: &str = "/relay";
/// Protocol that the connection changes to.
pub(crate) const RELAY_PROTOCOL: HeaderValue = HeaderValue::from_static("bergamotspan-relay");
/// Status if the backend server refuses connections.
pub(crate) const REFUSED_STATUS: StatusCode = StatusCode::BAD_GATEWAY;
/// Status if the backend server can't be reached for another reason, or only through others.
pub(crate) const UNREACHABLE_STATUS: StatusCode = StatusCode::GATEWAY_TIMEOUT;
/// Status if the instance can't relay: it stops, or has enough to do.
pub(crate) const NOT_ABLE_STATUS: StatusCode = StatusCode::SERVICE_UNAVAILABLE;

/// Why another instance did not open a connection.
#[derive(Debug, Error)]
pub(crate) enum RelayError {
    /// The other instance did not answer.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The other instance can't relay now.
    #[error("not able to relay")]
    NotAble,
    /// The backend server refuses connections of the other instance as well.
    #[error("refused there as well")]
    Refused,
    /// The other instance can't reach the backend server.
    #[error("not reachable from there")]
    Unreachable,
}

/// A run of a backend server, as the request names it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct RelayTarget {
    pub(crate) backend_server: Name,
    pub(crate) born_ms: Option<u64>,
}

impl RelayTarget {
    fn path(&self) -> String {
        let id = utf8_percent_encode(&self.backend_server, NON_ALPHANUMERIC);
        match self.born_ms {
            Some(born_ms) => format!("{RELAY_PATH}?backend_server={id}&born_ms={born_ms}"),
            None => format!("{RELAY_PATH}?backend_server={id}"),
        }
    }

    /// Returns the target that a query names.
    pub(crate) fn parse(query: &str) -> Option<Self> {
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.find(|(field_name, _)| *field_name == name).map(|(_, value)| value)
        };
        let id = percent_decode_str(field("backend_server")?).decode_utf8().ok()?;
        let born_ms = match field("born_ms") {
            Some(text) => Some(text.parse().ok()?),
            None => None,
        };
        Some(Self { backend_server: Name::from(&*id), born_ms })
    }
}

/// Has another instance open a connection to a backend server, and returns it.
///
/// # Errors
///
/// Returns a [`RelayError`] if there is none.
pub(crate) async fn open_relayed(
    instance: SocketAddr,
    target: &RelayTarget,
    limit_ms: u64,
) -> Result<RelayedStream<TcpStream>, RelayError> {
    let no_answer = |error: &dyn std::error::Error| RelayError::NoAnswer(error.to_string());
    let stream = connect(instance, limit_ms).await.map_err(|error| no_answer(&error))?;
    let (mut sender, connection) =
        Builder::new().handshake(TokioIo::new(stream)).await.map_err(|error| no_answer(&error))?;
    let request = Request::get(target.path())
        .header(HOST, instance.to_string())
        .header(CONNECTION, "upgrade")
        .header(UPGRADE, RELAY_PROTOCOL)
        .body(Empty::<Bytes>::new())
        .map_err(|error| no_answer(&error))?;
    let answer = pin!(sender.send_request(request));
    let connection = pin!(connection.without_shutdown());
    // After a change of protocol the connection ends for the HTTP library, which returns the stream.
    let (response, ended) = match select(answer, connection).await {
        Either::Left((response, connection)) => {
            let response = response.map_err(|error| no_answer(&error))?;
            check(response.status())?;
            (response, connection.await)
        }
        Either::Right((ended, answer)) => (answer.await.map_err(|error| no_answer(&error))?, ended),
    };
    check(response.status())?;
    let parts = ended.map_err(|error| no_answer(&error))?;
    Ok(RelayedStream::new(parts.io.into_inner(), parts.read_buf))
}

fn check(status: StatusCode) -> Result<(), RelayError> {
    match status {
        StatusCode::SWITCHING_PROTOCOLS => Ok(()),
        REFUSED_STATUS => Err(RelayError::Refused),
        UNREACHABLE_STATUS | StatusCode::NOT_FOUND => Err(RelayError::Unreachable),
        _ => Err(RelayError::NotAble),
    }
}
