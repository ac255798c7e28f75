//! Random schedule of faults, which a seed determines.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time before the first fault, in milliseconds.
const FIRST_FAULT_MS: u64 = 1_500;
/// Longest time between the beginnings of two faults, in milliseconds.
const MAX_GAP_MS: u64 = 1_600;
/// Shortest and longest duration of a fault, in milliseconds; the end of the trial cuts it short.
const DURATION_RANGE_MS: (u64, u64) = (300, 4_000);

/// Crowds of callers in a trial.
const CROWDS: usize = 3;
/// Sets the draws of crowds apart from those of the other faults of a seed.
const CROWD_SEED: u64 = 0x6372_6f77;

/// Shortest and longest time for which a backend server falls silent, in milliseconds.
const SILENCE_RANGE_MS: (u64, u64) = (800, 1_500);
/// Longest time between the beginnings of two events of a trial with silences, in milliseconds.
const MAX_SILENCE_GAP_MS: u64 = 1_000;

/// A fault of the fleet or of the systems around it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// All backend servers break off many streams, mostly inside an event.
    BrokenStreams,
    /// The history of the store is dropped between two changes.
    Compact,
    /// Many callers of an instance send bodies that stop short of their end, and stay.
    Crowd(usize),
    /// A new document revokes a key; a later one restores it.
    Document,
    /// A new document has other limits and timeouts.
    DocumentLimits,
    /// A backend server is published as draining, then ends; another one replaces it.
    Drain(usize),
    /// A backend server crashes; one with another id replaces it at the same address.
    EngineCrash(usize),
    /// The connections to a backend server misbehave.
    EngineConnections(usize, ConnectionFault),
    /// A backend server writes nothing for a while and goes on.
    EngineSilence(usize),
    /// One of two data centres is evacuated and taken back.
    Evacuate(usize),
    /// An instance is killed and started again.
    Kill(usize),
    /// An instance is paused by SIGSTOP.
    Pause(usize),
    /// A backend server of another software version starts, and the one in its place drains and
    /// ends.
    Replace(usize),
    /// An instance receives SIGHUP, which reloads its settings.
    Reload(usize),
    /// An instance receives SIGTERM, which stops it, and is started again.
    Stop(usize),
    /// The connections from an instance to the store misbehave.
    StoreConnections(usize, ConnectionFault),
    /// The connections from all instances to the store misbehave.
    AllStoreConnections(ConnectionFault),
}

/// How the connections through a proxy misbehave.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionFault {
    /// Open and new connections are reset.
    Reset,
    /// Nothing passes, in both directions.
    Silent,
    /// Nothing passes from the target to the client.
    OneWay,
    /// Everything is delayed.
    Slow,
}

/// A fault with its beginning and duration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TimedFault {
    /// When it begins, in milliseconds from the start.
    pub at_ms: u64,
    /// The fault.
    pub fault: Fault,
    /// Its duration, in milliseconds.
    pub duration_ms: u64,
}

/// Returns the faults of a seed for a trial of `length_ms`, in the order in which they begin.
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

/// Returns the crowds of a seed, which come beside its other faults.
pub fn crowd_schedule(seed: u64, instances: usize, length_ms: u64) -> Vec<TimedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ CROWD_SEED);
    let crowd = |_| {
        let at_ms = random.random_range(FIRST_FAULT_MS..length_ms.max(FIRST_FAULT_MS + 1));
        let (shortest_ms, longest_ms) = DURATION_RANGE_MS;
        let duration_ms = random.random_range(shortest_ms..longest_ms);
        let fault = Fault::Crowd(random.random_range(0..instances));
        TimedFault { at_ms, fault, duration_ms: duration_ms.min(length_ms.saturating_sub(at_ms)) }
    };
    let mut crowds: Vec<_> = (0..CROWDS).map(crowd).collect();
    crowds.sort_by_key(|crowd| crowd.at_ms);
    crowds
}

/// Returns silences of backend servers beside changes of the document, which excuse no lost answer.
pub fn silence_schedule(seed: u64, engines: usize, length_ms: u64) -> Vec<TimedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut at_ms = FIRST_FAULT_MS;
    let mut faults = Vec::new();
    while at_ms < length_ms {
        let (shortest_ms, longest_ms) = SILENCE_RANGE_MS;
        let duration_ms = random.random_range(shortest_ms..=longest_ms);
        let engine = random.random_range(0..engines);
        let is_silence = random.random_bool(0.7);
        let fault = if is_silence { Fault::EngineSilence(engine) } else { Fault::DocumentLimits };
        faults.push(TimedFault { at_ms, fault, duration_ms });
        at_ms += random.random_range(0..MAX_SILENCE_GAP_MS);
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
    match random.random_range(0..18) {
        0 => Fault::Compact,
        1 | 2 => Fault::Document,
        3 => Fault::Drain(engine),
        4 => Fault::EngineCrash(engine),
        5 => Fault::EngineConnections(engine, connection_fault),
        6 => Fault::Kill(instance),
        7 => Fault::Pause(instance),
        8 => Fault::Stop(instance),
        9 => Fault::StoreConnections(instance, connection_fault),
        10 | 11 => Fault::BrokenStreams,
        12..15 => Fault::Replace(engine),
        15 | 16 => Fault::Evacuate(engine % 2),
        _ if random.random_bool(0.5) => Fault::AllStoreConnections(connection_fault),
        _ => Fault::Reload(instance),
    }
}
