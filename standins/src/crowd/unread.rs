//! Tells how much of what a crowd has sent waits in the system's buffers.

use std::fs;
use std::net::{IpAddr, SocketAddr};
use std::thread;
use std::time::{Duration, Instant};

/// List of all IPv4 connections of the system.
const CONNECTIONS_FILE: &str = "/proc/net/tcp";
/// Time between two looks, in milliseconds.
const LOOK_INTERVAL_MS: u64 = 20;
/// Looks in a row that must find nothing.
const EMPTY_LOOKS: u32 = 3;
/// Longest wait, in milliseconds; an instance that accepts no connection reads nothing.
const WAIT_LIMIT_MS: u128 = 30_000;

/// Waits until a server has read, or dropped, all that was sent to its address.
pub(super) fn wait_until_read(address: SocketAddr) {
    let started = Instant::now();
    let mut empty_looks = 0;
    while empty_looks < EMPTY_LOOKS && started.elapsed().as_millis() < WAIT_LIMIT_MS {
        empty_looks = if unread_bytes(address) == 0 { empty_looks + 1 } else { 0 };
        thread::sleep(Duration::from_millis(LOOK_INTERVAL_MS));
    }
}

/// Returns the bytes that the connections of a server hold and that it has not read.
fn unread_bytes(address: SocketAddr) -> u64 {
    let connections = fs::read_to_string(CONNECTIONS_FILE).unwrap_or_default();
    let local = local_field(address);
    let unread = connections.lines().filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let is_of_server = fields.next()? == local;
        let (_, unread) = fields.nth(2)?.split_once(':')?;
        is_of_server.then(|| u64::from_str_radix(unread, 16).ok())?
    });
    unread.sum()
}

fn local_field(address: SocketAddr) -> String {
    match address.ip() {
        IpAddr::V4(ip) => {
            format!("{:08X}:{:04X}", u32::from_ne_bytes(ip.octets()), address.port())
        }
        IpAddr::V6(_) => String::new(),
    }
}
