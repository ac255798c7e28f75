//! Experiment tool: the same seeded load under each policy, side by side.

mod capacity;
mod chart;
mod command;
mod deployment;
mod setup;
mod steward_counts;
mod summary;
mod timed_faults;
mod trial;

pub use capacity::TimeModel;
pub use command::ExperimentCommand;
pub use deployment::Deployment;
pub use setup::{Burst, Setup};
pub use steward_counts::StewardCounts;
pub use summary::Summary;
pub use timed_faults::{Strike, TimedFault};
pub use trial::{TrialResult, run_trial};
