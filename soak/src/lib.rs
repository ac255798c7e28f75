//! Random faults against a fleet of real instances on loopback.
//!
//! A seed gives a schedule of faults, which may overlap and repeat. Callers and backend servers
//! record what they see, and [`checker`] compares the two records. All faults are injected from
//! outside the instances: signals, a store that misbehaves, and proxied connections that are reset,
//! silenced or delayed.

pub mod caller;
pub mod checker;
pub mod command;
mod crowd;
pub mod engine;
mod fleet;
mod injection;
pub mod instance;
pub mod proxy;
pub mod schedule;
pub mod store;
pub mod streams;
pub mod trial;

/// Text that many records share.
pub type Name = std::sync::Arc<str>;
