//! TCP proxy that injects faults into the connections that it carries.

mod command;
mod endpoints;
mod fault;
mod pump;
mod route;

pub use command::ProxyCommand;
pub use fault::{Fault, FaultMode};
