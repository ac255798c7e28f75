//! The daemon's HTTP front: one thread owns all connections of callers, and hands each request that
//! has arrived to a thread of its own.

pub(crate) mod answer_parts;
mod connection;
mod connection_state;
pub(crate) mod front_request;
mod server;

pub(crate) use server::{Front, FrontLimits, HeadStep, RequestHandler};
