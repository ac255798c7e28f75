//! A crowd of callers that send requests badly and keep their connections open.

mod sending;
mod unread;

use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Sender, channel};
use std::thread;
use std::time::Duration;

pub use sending::{Framing, Sending};

/// Longest time for which a caller waits for its connection to take more bytes, in milliseconds.
const WRITE_TIMEOUT_MS: u64 = 5_000;
/// Stack of the thread of a caller, in bytes.
const STACK_BYTES: usize = 131_072;

/// A running crowd; its connections close when it is dropped.
#[derive(Debug)]
pub struct Crowd {
    connections: Vec<Option<TcpStream>>,
}

impl Crowd {
    /// Opens `count` connections at once, sends on each of them, and waits until each caller has
    /// sent all that it means to send, or can't send more, and the instance has read it.
    ///
    /// # Panics
    ///
    /// Panics if the system has no threads for the crowd.
    pub fn send(address: SocketAddr, count: usize, sending: &Sending) -> Self {
        let (sender, receiver) = channel();
        for _ in 0..count {
            start_caller(address, sending.clone(), sender.clone());
        }
        drop(sender);
        let crowd = Self { connections: receiver.into_iter().collect() };
        unread::wait_until_read(address);
        crowd
    }

    /// Returns the number of connections that were opened.
    pub fn opened(&self) -> usize {
        self.connections.iter().flatten().count()
    }
}

fn start_caller(address: SocketAddr, sending: Sending, done: Sender<Option<TcpStream>>) {
    let caller = move || {
        let connection = connect(address);
        if let Some(mut connection) = connection.as_ref() {
            // The instance may close the connection at any time.
            let _ = sending.write_to(&mut connection);
        }
        // The test may have failed already.
        let _ = done.send(connection);
    };
    thread::Builder::new().stack_size(STACK_BYTES).spawn(caller).expect("a thread");
}

/// Opens a connection; `None` if it is refused.
fn connect(address: SocketAddr) -> Option<TcpStream> {
    let timeout = Duration::from_millis(WRITE_TIMEOUT_MS);
    let connection = TcpStream::connect_timeout(&address, timeout).ok()?;
    connection.set_nodelay(true).ok()?;
    connection.set_write_timeout(Some(timeout)).ok()?;
    Some(connection)
}
