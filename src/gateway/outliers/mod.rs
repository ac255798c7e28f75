//! Keeps requests from backend servers that fail far more often than the others of their service.
//!
//! Load: hundreds of requests a second for a service of a few servers, one of which fails each at
//! once. Such a server always has the fewest running requests, so whoever chooses by load sends it
//! nearly all.
//!
//! [`record`] keeps the recent outcomes of one server and whether it is ejected, [`judge`] decides
//! on an ejection by comparison with the other servers of the service, and [`trials`] decides when
//! an ejected one gets a request again. The coordinator of a service hears the outcomes of all
//! instances; [`fleet`] tells its ejections with its reports, so that its successor and instances
//! that decide alone know of them.

pub mod fleet;
pub mod judge;
pub mod record;
pub mod trials;
