//! Measures how the cost of an instance grows with its document, its fleet and its load, and its
//! overhead on the time to the first token.

mod command;
mod config_trial;
mod engines_trial;
mod fit;
mod overhead;
mod overhead_report;
mod peers_trial;
mod requests_trial;
mod sampler;
mod series;
mod streams_trial;
mod usage;

pub use command::CapacityCommand;
pub use fit::{Fit, Point};
pub use overhead::OverheadCommand;
pub use overhead_report::OverheadReport;
pub use series::{CapacityReport, Series};
pub use usage::{Usage, resident_kb};
