//! The time that is passed to every decision.

/// Time of an event, read once by the adapter that delivers the event.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Now {
    /// Time since the process started, in milliseconds; it also advances while the process is
    /// stopped.
    pub monotonic_ms: u64,
    /// Time since the Unix epoch, in milliseconds.
    pub wall_clock_ms: u64,
}
