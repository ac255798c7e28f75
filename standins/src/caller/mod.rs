//! Client of the protocol for callers.

mod answer;
mod answer_reader;
mod call;
mod events;

pub use answer::{Answer, Outcome, Token};
pub(crate) use call::without_proxy;
pub use call::{Call, CallError, cancel, join};
pub use events::{Event, EventReader};
