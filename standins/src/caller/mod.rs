//! Client of the protocol for callers.

mod answer;
mod call;
mod events;
mod reader;

pub use answer::{Answer, Outcome, Token};
pub(crate) use call::direct;
pub use call::{Call, CallError, cancel, join};
pub use events::{Event, EventReader};
