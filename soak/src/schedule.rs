//! Which faults come when, drawn from a seed.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time before the first fault, in milliseconds.
const FIRST_FAULT_MS: u64 = 1_500;
/// Longest time between two faults, in milliseconds.
const MAX_GAP_MS: u64 = 1_600;
/// Shortest and longest time that a fault lasts, in milliseconds.
const DURATION_RANGE_MS: (u64, u64) = (300, 4_000);

/// What goes wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The history of the store is dropped while changes are made.
    Compact,
    /// A new document is written, which takes a key away or gives it back.
    Document,
    /// A backend server says that it leaves, then ends; another takes its place.
    Drain(usize),
    /// A backend server crashes; one with another id takes its address.
    EngineCrash(usize),
    /// The way to a backend server misbehaves.
    EngineConnections(usize, ConnectionFault),
    /// An instance is killed and started again.
    Kill(usize),
    /// An instance stands still.
    Pause(usize),
    /// An instance is told to read its settings again.
    Reload(usize),
    /// An instance is told to stop, and is started again.
    Stop(usize),
    /// The way from an instance to the store misbehaves.
    StoreConnections(usize, ConnectionFault),
    /// The store misbehaves for all.
    AllStoreConnections(ConnectionFault),
}

/// How a way misbehaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionFault {
    /// Connections are reset.
    Reset,
    /// Nothing passes, in both directions.
    Silent,
    /// Nothing comes back.
    OneWay,
    /// Everything comes late.
    Slow,
}

/// A fault at its time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TimedFault {
    /// When it begins, in milliseconds from the start.
    pub at_ms: u64,
    /// What it is.
    pub fault: Fault,
    /// How long it lasts, in milliseconds.
    pub duration_ms: u64,
}

/// Draws the faults of a seed for a trial of `length_ms`.
pub fn random_schedule(
    seed: u64,
    instances: usize,
    engines: usize,
    length_ms: u64,
) -> Vec<TimedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut at_ms = FIRST_FAULT_MS;
    let mut faults = Vec::new();
    while at_ms < length_ms {
        let (shortest_ms, longest_ms) = DURATION_RANGE_MS;
        let duration_ms = random.random_range(shortest_ms..longest_ms).min(length_ms - at_ms);
        let fault = random_fault(&mut random, instances, engines);
        faults.push(TimedFault { at_ms, fault, duration_ms });
        at_ms += random.random_range(0..MAX_GAP_MS);
    }
    faults
}

fn random_fault(random: &mut ChaCha8Rng, instances: usize, engines: usize) -> Fault {
    let instance = random.random_range(0..instances);
    let engine = random.random_range(0..engines);
    let connection_fault = [
        ConnectionFault::Reset,
        ConnectionFault::Silent,
        ConnectionFault::OneWay,
        ConnectionFault::Slow,
    ][random.random_range(0..4)];
    match random.random_range(0..11) {
        0 => Fault::Compact,
        1 | 2 => Fault::Document,
        3 => Fault::Drain(engine),
        4 => Fault::EngineCrash(engine),
        5 => Fault::EngineConnections(engine, connection_fault),
        6 => Fault::Kill(instance),
        7 => Fault::Pause(instance),
        8 => Fault::Stop(instance),
        9 => Fault::StoreConnections(instance, connection_fault),
        _ if random.random_bool(0.5) => Fault::AllStoreConnections(connection_fault),
        _ => Fault::Reload(instance),
    }
}
