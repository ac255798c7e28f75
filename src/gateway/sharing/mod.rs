//! Shares the room at the backend servers of a service between customers when less is free than is
//! wanted.
//!
//! The load it answers: one customer of a rank sends many times its usual. Ranks come first, as
//! before; within a rank the next place goes to the customer that has had the least, counted in the
//! time that its requests hold engines ([`fair_shares`]). What a customer does not want goes to those
//! that do. The waiting requests are kept in that order by [`rank_lane`], one for each rank; how many
//! places come free is measured by [`drain_rate`], and the time from a grant to the first event by
//! [`start_time`]. From these, `request_queue` tells at arrival whether a request would begin in
//! time, and refuses those whose turn would come too late, the ones of the customer with the longest
//! queue first.
//!
//! All of it is kept at the coordinator that grants the places and is lost with it: the next one
//! begins with equal accounts, in nobody's favour. [`room_use`] and [`share_tally`] count what became
//! of the room.

pub mod drain_rate;
pub mod fair_shares;
pub mod level_counts;
pub mod rank_lane;
pub mod room_use;
mod sampling;
pub mod share_metrics;
pub mod share_tally;
pub mod sharer;
pub mod start_time;
