//! Evacuated data centres: their backend servers get no new work from any instance, and finish what
//! they run.
//!
//! The load it answers: an operator empties a data centre by one write to the store, while every
//! instance has requests that wait, places that it was granted and streams that may move, and only a
//! few instances read the store.
//!
//! [`evacuated_set`] is the state machine: the whole set of evacuated data centres, and the position
//! up to which it is known. [`following`] feeds it from the store, from store updates and from
//! reports, and decides when an instance that lacks a part of it reads the store. [`effect`] keeps
//! backend servers of the set out of every choice, and checks a place again before it is used.
//! [`event_log`] logs what changed.

pub mod effect;
pub mod evacuated_set;
pub(crate) mod event_log;
pub mod following;
