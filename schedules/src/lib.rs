//! Checks the decisions of bergamotspan over random schedules of faults.
//!
//! The decisions use no clock, socket or thread, so a schedule of events is generated from a seed
//! and replayed from it. The tests of the library run a fixed number of seeds; the program of this
//! crate runs the number given on its command line.

pub mod command;
pub mod cores;
pub mod fake_fleet;
pub mod key_homes;
pub mod receiver_model;
pub mod run_seeds;
pub mod schedulers;
