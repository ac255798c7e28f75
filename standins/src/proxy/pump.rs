//! Forwards the data of a connection in both directions, subject to the faults of its route.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use socket2::SockRef;

use super::fault::{Direction, ForwardDecision};
use super::route::Connection;

/// Interval at which a connection without data checks the faults.
const POLL_INTERVAL_MS: u64 = 20;

/// Maximum size of a chunk.
const CHUNK_BYTES: usize = 16 * 1024;

/// Maximum number of chunks buffered in each direction.
const CHUNKS_LIMIT: usize = 64;

/// Data and the time at which it may be forwarded.
type Chunk = (Instant, Vec<u8>);

/// Closes a connection with a TCP reset.
pub(super) fn reset(stream: &TcpStream) {
    // The other end may have closed it.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}

/// Starts the threads that forward data in both directions.
pub(super) fn start(connection: Arc<Connection>, client: TcpStream, target: TcpStream) {
    let Ok((client_end, target_end)) =
        client.try_clone().and_then(|client| Ok((client, target.try_clone()?)))
    else {
        return;
    };
    start_direction(Arc::clone(&connection), Direction::ToTarget, client_end, target_end);
    start_direction(connection, Direction::ToClient, target, client);
}

fn start_direction(
    connection: Arc<Connection>,
    direction: Direction,
    from: TcpStream,
    to: TcpStream,
) {
    let (sender, receiver) = flume::bounded(CHUNKS_LIMIT);
    let read_connection = Arc::clone(&connection);
    thread::spawn(move || read(&read_connection, direction, from, &sender));
    thread::spawn(move || write(&connection, direction, to, &receiver));
}

fn read(
    connection: &Connection,
    direction: Direction,
    mut from: TcpStream,
    sender: &flume::Sender<Chunk>,
) {
    if from.set_read_timeout(Some(Duration::from_millis(POLL_INTERVAL_MS))).is_err() {
        return;
    }
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        if connection.decide(direction) == ForwardDecision::Close {
            return reset(&from);
        }
        match from.read(&mut buffer) {
            Ok(0) => return,
            Ok(length) => {
                let chunk = (Instant::now() + connection.delay(), buffer[..length].to_vec());
                if sender.send(chunk).is_err() {
                    return reset(&from);
                }
            }
            Err(error) if is_no_data(error.kind()) => {}
            Err(_) => return,
        }
    }
}

fn is_no_data(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}

fn write(
    connection: &Connection,
    direction: Direction,
    mut to: TcpStream,
    receiver: &flume::Receiver<Chunk>,
) {
    for (forward_at, bytes) in receiver {
        thread::sleep(forward_at.saturating_duration_since(Instant::now()));
        if !connection.wait_to_forward(direction) || to.write_all(&bytes).is_err() {
            return reset(&to);
        }
    }
    if connection.wait_to_forward(direction) {
        // The other end may have closed it.
        let _ = to.shutdown(Shutdown::Write);
    } else {
        reset(&to);
    }
}
