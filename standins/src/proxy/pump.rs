//! Moves the data of one connection, in either direction.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use socket2::SockRef;

use super::fault::{Direction, Gate};
use super::route::Connection;

/// Interval at which a silent connection looks at the faults.
const LOOK_INTERVAL_MS: u64 = 20;

/// Longest piece of data.
const PIECE_BYTES: usize = 16 * 1024;

/// Most pieces on their way in one direction.
const PIECES_LIMIT: usize = 64;

/// A piece of data and the time at which it may go on.
type Piece = (Instant, Vec<u8>);

/// Closes a connection so that its other end sees a reset.
pub(super) fn reset(stream: &TcpStream) {
    // The other end may have closed it.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}

/// Starts to move data in both directions.
pub(super) fn start(connection: Arc<Connection>, client: TcpStream, target: TcpStream) {
    let Ok((client_end, target_end)) =
        client.try_clone().and_then(|client| Ok((client, target.try_clone()?)))
    else {
        return;
    };
    start_one(Arc::clone(&connection), Direction::ToTarget, client_end, target_end);
    start_one(connection, Direction::ToClient, target, client);
}

fn start_one(connection: Arc<Connection>, direction: Direction, from: TcpStream, to: TcpStream) {
    let (sender, receiver) = flume::bounded(PIECES_LIMIT);
    let reading = Arc::clone(&connection);
    thread::spawn(move || read(&reading, direction, from, &sender));
    thread::spawn(move || write(&connection, direction, to, &receiver));
}

fn read(
    connection: &Connection,
    direction: Direction,
    mut from: TcpStream,
    sender: &flume::Sender<Piece>,
) {
    if from.set_read_timeout(Some(Duration::from_millis(LOOK_INTERVAL_MS))).is_err() {
        return;
    }
    let mut buffer = vec![0; PIECE_BYTES];
    loop {
        if connection.gate(direction) == Gate::Close {
            return reset(&from);
        }
        match from.read(&mut buffer) {
            Ok(0) => return,
            Ok(length) => {
                let piece = (Instant::now() + connection.delay(), buffer[..length].to_vec());
                if sender.send(piece).is_err() {
                    return reset(&from);
                }
            }
            Err(error) if is_silence(error.kind()) => {}
            Err(_) => return,
        }
    }
}

fn is_silence(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}

fn write(
    connection: &Connection,
    direction: Direction,
    mut to: TcpStream,
    receiver: &flume::Receiver<Piece>,
) {
    for (due, bytes) in receiver {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if !connection.pass(direction) || to.write_all(&bytes).is_err() {
            return reset(&to);
        }
    }
    if connection.pass(direction) {
        // The other end may have closed it.
        let _ = to.shutdown(Shutdown::Write);
    } else {
        reset(&to);
    }
}
