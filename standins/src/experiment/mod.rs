//! Experiment tool: the same seeded load under each policy, side by side.

mod chart;
mod command;
mod trial;

pub use command::ExperimentCommand;
pub use trial::{Setup, TrialResult, run_trial};
