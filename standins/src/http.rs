//! HTTP server functions shared by the stand-ins.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;

use serde::Serialize;
use serde::de::DeserializeOwned;
use socket2::{Domain, Socket, Type};
use tiny_http::{Header, Request, Response, Server};

/// Maximum number of connections that wait to be accepted.
const BACKLOG_CONNECTIONS: i32 = 1024;

/// Binds a listener whose accepted sockets have `TCP_NODELAY` set.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG_CONNECTIONS)?;
    Ok(socket.into())
}

/// Serves every request in a separate thread.
///
/// # Errors
///
/// Returns an error if the server can't start on `listener`.
pub fn serve<H>(listener: TcpListener, handler: H) -> io::Result<()>
where
    H: Fn(Request) + Send + Sync + 'static,
{
    let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        while let Ok(request) = server.recv() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || handler(request));
        }
    });
    Ok(())
}

/// A response with a JSON body.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Body as JSON text.
    pub body: String,
}

impl Reply {
    /// Creates a successful response.
    ///
    /// # Panics
    ///
    /// Panics if `value` can't be serialized as JSON.
    pub fn json<T>(value: &T) -> Self
    where
        T: Serialize,
    {
        Self {
            status: 200,
            body: serde_json::to_string(value).expect("the value can be serialized as JSON"),
        }
    }

    /// Creates a response with a status and no content.
    pub fn status(status: u16) -> Self {
        Self { status, body: if status == 304 { String::new() } else { "{}".into() } }
    }

    /// Sends the response.
    pub fn send(self, request: Request) {
        let content_type =
            Header::from_bytes("Content-Type", "application/json").expect("valid header");
        let response = Response::from_string(self.body)
            .with_status_code(self.status)
            .with_header(content_type);
        // The caller may have disconnected.
        let _ = request.respond(response);
    }
}

/// Reads a JSON body; the error is the response to send.
///
/// # Errors
///
/// Returns a response with status 400 if the body can't be read or parsed.
pub fn read_json<T>(request: &mut Request) -> Result<T, Reply>
where
    T: DeserializeOwned,
{
    serde_json::from_reader(request.as_reader())
        .map_err(|error| Reply { status: 400, body: format!("{:?}", error.to_string()) })
}

/// Returns the value of a header, if present.
pub fn header(request: &Request, name: &'static str) -> Option<String> {
    let found = request.headers().iter().find(|header| header.field.equiv(name))?;
    Some(found.value.as_str().to_owned())
}

/// Splits a URL into its path and query.
pub fn split_url(url: &str) -> (&str, &str) {
    url.split_once('?').unwrap_or((url, ""))
}

/// Returns the value of a numeric query parameter.
pub fn query_number(query: &str, name: &str) -> Option<u64> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}

/// Writer of a stream of server-sent events with chunked transfer coding.
pub struct EventWriter {
    writer: Box<dyn Write + Send>,
}

impl EventWriter {
    /// Starts the stream by sending status and headers.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is gone.
    pub fn start(request: Request) -> io::Result<Self> {
        let mut writer = request.into_writer();
        writer.write_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n\
              Transfer-Encoding: chunked\r\n\r\n",
        )?;
        writer.flush()?;
        Ok(Self { writer })
    }

    /// Sends one event.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is gone.
    pub fn event(&mut self, event: &str, data: &str) -> io::Result<()> {
        self.chunk(&format!("event: {event}\ndata: {data}\n\n"))
    }

    /// Sends a comment, which keeps the connection alive.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is gone.
    pub fn comment(&mut self, text: &str) -> io::Result<()> {
        self.chunk(&format!(": {text}\n\n"))
    }

    /// Ends the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is gone.
    pub fn finish(mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }

    fn chunk(&mut self, text: &str) -> io::Result<()> {
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        self.writer.write_all(chunk.as_bytes())?;
        self.writer.flush()
    }
}
