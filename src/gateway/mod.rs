//! Forwards callers' requests unchanged to backend servers, by published routes.
//!
//! Decisions are plain state machines that are handed the time; they stand in [`state`],
//! [`dispatching`] and the modules that they hold. Sockets stand in `caller_server`, `exchange`, `store_watch` and
//! `peer_socket`. A platform's names and formats come in through [`wire::Wire`].

pub mod admission;
pub mod backend;
pub mod backend_record;
pub mod backends;
pub mod boot_clock;
mod caller_server;
mod connections;
pub mod counters;
pub mod daemon;
pub mod deaths;
pub mod dispatching;
pub mod engine_ask;
pub mod event_splitter;
mod exchange;
mod forward;
pub mod freshness;
pub mod gateway_settings;
mod gossip;
mod lease;
pub mod peer_digest;
pub mod peer_socket;
pub mod peer_table;
mod peer_update;
mod plain_relay;
mod queue_log;
mod readiness;
mod relay;
mod reply;
pub mod request_facts;
pub mod resend_budget;
pub mod routing_document;
pub mod routing_table;
mod shared;
pub mod state;
pub mod store_item;
pub mod store_log;
pub mod store_read;
pub mod store_updates;
mod store_watch;
mod stream_relay;
pub mod usage_limits;
pub mod waiting_line;
pub mod wire;
