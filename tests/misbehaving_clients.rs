//! Crowds of callers that send badly use up neither the memory nor the descriptors of a small machine.

mod support;

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use rustix::process::{Pid, Resource, Rlimit, prlimit};
use standins::crowd::{Crowd, Framing, Sending};
use standins::fleet::{Fleet, FleetBuilder};
use support::{CUSTOMER, draft, quick_fleet};

/// Callers of a crowd whose bodies use up the memory.
const CROWD: usize = 64;
/// Callers of a crowd whose connections use up the descriptors.
const LARGE_CROWD: usize = 300;
/// Longest body that is permitted, in bytes.
const BODY_BYTES: u64 = 4_194_304;
/// What is left out at the end of a body that stops short.
const MISSING_BYTES: u64 = 100;
/// Most memory that a process may have at any time.
const MEMORY_BOUND_KB: u64 = 110_000;
/// Descriptors of a machine, of which 200 are kept for files.
const DESCRIPTORS: u64 = 400;
const SOCKETS: u64 = 200;
const PROMPT: &str = "draft a fitting plan";

static ONE_CROWD: Mutex<()> = Mutex::new(());

/// One instance on a small machine.
struct Given {
    fleet: Fleet,
    _alone: MutexGuard<'static, ()>,
}

impl Given {
    fn new() -> Self {
        Self::with(quick_fleet(1))
    }

    fn with(fleet: FleetBuilder) -> Self {
        let _alone = ONE_CROWD.lock().unwrap_or_else(PoisonError::into_inner);
        let fleet = fleet
            .setting("machine", "memory_mb", MEMORY_BOUND_KB / 1_000)
            .setting("machine", "descriptors", DESCRIPTORS)
            .tier("high", 10_000)
            .customer(CUSTOMER, "high")
            .start()
            .unwrap();
        let given = Self { fleet, _alone };
        let pid = i32::try_from(given.pid()).ok().and_then(Pid::from_raw);
        let sockets = Rlimit { current: Some(SOCKETS), maximum: Some(SOCKETS) };
        prlimit(pid, Resource::Nofile, sockets).unwrap();
        given
    }

    fn address(&self) -> SocketAddr {
        self.fleet.caller_addresses()[0]
    }

    fn pid(&self) -> u32 {
        self.fleet.instances[0].process.id()
    }

    fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        peak.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// Checks that the process is within its bounds, and that an ordinary request is answered.
    fn assert_unharmed(&mut self) {
        assert!(self.fleet.instances[0].process.is_running(), "the process ended");
        let peak_kb = self.peak_memory_kb();
        assert!(peak_kb <= MEMORY_BOUND_KB, "{peak_kb} kB");
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", self.pid())).unwrap().count();
        assert!((descriptors as u64) < SOCKETS, "{descriptors} descriptors");
        let answer = draft(&self.fleet, 0, PROMPT, 5).send().unwrap();
        assert!(answer.matches(PROMPT), "{answer:?}");
        let peak_kb = self.peak_memory_kb();
        assert!(peak_kb <= MEMORY_BOUND_KB, "{peak_kb} kB afterwards");
    }
}

fn check_crowd_of(count: usize, sending: &Sending) {
    let mut given = Given::new();
    let crowd = Crowd::send(given.address(), count, sending);
    given.assert_unharmed();
    drop(crowd);
    given.assert_unharmed();
}

fn sending(framing: Framing) -> Sending {
    let head = format!(
        "POST /v1/services/plan-model/requests HTTP/1.1\r\nHost: entry\r\n\
         Bergamotspan-Customer: {CUSTOMER}\r\n"
    );
    Sending::new(&head, framing)
}

fn stops_short(sending: Sending, body_bytes: u64) -> Sending {
    sending.body_bytes(body_bytes).sent_bytes(body_bytes - MISSING_BYTES)
}

#[test]
fn large_bodies_that_stop_short_use_up_the_memory() {
    check_crowd_of(CROWD, &stops_short(sending(Framing::Length), BODY_BYTES));
}

#[test]
fn large_bodies_in_small_pieces_that_stop_short_use_up_the_memory() {
    check_crowd_of(CROWD, &stops_short(sending(Framing::Length).piece_bytes(512), BODY_BYTES));
}

#[test]
fn large_chunks_that_stop_short_use_up_the_memory() {
    check_crowd_of(CROWD, &stops_short(sending(Framing::Chunks), BODY_BYTES));
}

#[test]
fn chunks_of_one_byte_that_stop_short_use_up_the_memory() {
    let sending = sending(Framing::Chunks).piece_bytes(1).pieces_in_write(1_000);
    check_crowd_of(CROWD, &stops_short(sending, 400_000));
}

#[test]
fn an_announced_body_far_over_the_limit_ends_the_process() {
    let sending = sending(Framing::Length).body_bytes(90_000_000_000_000_000);
    check_crowd_of(1, &sending.sent_bytes(100_000));
}

#[test]
fn announced_bodies_over_the_limit_use_up_the_memory() {
    check_crowd_of(CROWD, &sending(Framing::Length).body_bytes(64 * BODY_BYTES));
}

#[test]
fn chunked_bodies_far_over_the_limit_use_up_the_memory() {
    check_crowd_of(CROWD, &sending(Framing::Chunks).body_bytes(16 * BODY_BYTES));
}

#[test]
fn heads_without_end_use_up_the_memory() {
    let head =
        format!("POST /v1/requests HTTP/1.1\r\nHost: entry\r\nPadding: {}", "a".repeat(4_000_000));
    check_crowd_of(CROWD, &Sending::new(&head, Framing::Length));
}

#[test]
fn connections_without_requests_use_up_the_descriptors() {
    let mut given = Given::new();
    let address = given.address();
    let connect = |_| std::net::TcpStream::connect(address).ok();
    let crowd: Vec<_> = (0..LARGE_CROWD).filter_map(connect).collect();
    given.assert_unharmed();
    drop(crowd);
    given.assert_unharmed();
}

#[test]
fn connections_whose_body_stops_short_use_up_the_descriptors() {
    check_crowd_of(LARGE_CROWD, &stops_short(sending(Framing::Length), 2_000));
}

#[test]
fn a_large_body_that_arrives_slowly_is_read_in_calm() {
    let mut given = Given::new();
    let crowd = Crowd::send(
        given.address(),
        1,
        &sending(Framing::Length).body_bytes(BODY_BYTES).pause_ms(20),
    );
    assert_eq!(crowd.opened(), 1);
    given.assert_unharmed();
}
