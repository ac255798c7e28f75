//! Random faults against a fleet of real instances on loopback.
//!
//! A seed gives a schedule of faults, which may overlap and come again. Callers and backend servers
//! note what they see, and [`checker`] compares the two. All faults come from outside: signals, a
//! store that misbehaves, connections that are cut, silenced or delayed on their way.

pub mod caller;
pub mod checker;
pub mod command;
pub mod engine;
pub mod instance;
pub mod proxy;
pub mod schedule;
pub mod store;
pub mod trial;
