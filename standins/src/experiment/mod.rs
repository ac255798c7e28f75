//! Experiment tool, which runs the same seeded load under each policy and compares the results.

mod chart;
mod command;
mod coordinator_counts;
mod deployment;
mod setup;
mod summary;
mod time_model;
mod timed_faults;
mod trial;

pub use command::ExperimentCommand;
pub use coordinator_counts::CoordinatorCounts;
pub use deployment::Deployment;
pub use setup::{Burst, Setup};
pub use summary::Summary;
pub use time_model::TimeModel;
pub use timed_faults::{FaultAction, TimedFault};
pub use trial::{TrialResult, run_trial};
