//! Checks the decisions of bergamotspan over random schedules of faults.
//!
//! The decisions hold no clock, socket or thread, so a schedule of events is drawn from a seed and
//! replayed from it. The tests of the library run a fixed number of seeds; the program of this
//! crate runs as many as it is told to.

pub mod command;
pub mod cores;
pub mod fake_fleet;
pub mod key_homes;
pub mod receiver_model;
pub mod run_seeds;
pub mod schedulers;
