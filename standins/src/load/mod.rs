//! Load driver with seeded arrivals and a mix of request classes.

mod command;
mod direct;
mod drive;
mod mix;
mod plan;
mod report;

pub use command::LoadCommand;
pub use drive::{Target, drive};
pub use mix::{Mix, RequestClass};
pub use plan::{Arrival, LoadPlan};
pub use report::{LoadReport, TierReport, TimesMs};
