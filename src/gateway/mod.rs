//! The gateway that forwards callers' requests unchanged to backend servers, by published routes.
//!
//! Decisions are made by plain state machines that receive the time as an argument: [`state`],
//! [`dispatching`] and the modules that they use. Sockets and tasks are used in the modules
//! around them, chiefly `caller_server`, `exchange`, `store_watch` and `peer_socket`. The names and
//! formats of a platform are behind the trait [`wire::Wire`].

pub mod admission;
mod answer_body;
pub mod answer_budget;
mod answer_framing;
pub mod backend;
pub mod backend_limits;
pub mod backend_record;
mod backend_stream;
pub mod backends;
pub mod boot_clock;
pub mod broken_sends;
pub mod caller_phase;
mod caller_server;
mod caller_stream;
pub mod connections;
pub mod counters;
pub mod crash_records;
pub mod daemon;
mod dialer;
pub mod dispatching;
pub mod engine_paths;
pub mod engine_query;
pub mod event_splitter;
mod exchange;
pub mod fleet;
mod fleet_dialer;
mod forward;
pub mod freshness;
pub mod gateway_settings;
mod origin_finder;
mod part_gate;
pub mod part_quarantine;
pub mod part_stage;
mod peer_socket;
mod peer_update;
mod place_finder;
mod plain_relay;
mod planned_stop;
pub mod rate_limit;
mod readiness;
pub mod recent_parts;
mod relay;
mod relay_request;
mod relay_server;
mod relayed_stream;
mod reply;
pub mod request_metadata;
pub mod request_queue;
pub mod routing_document;
pub mod routing_table;
mod send_guard;
mod send_progress;
pub mod service_retry_budget;
mod shared;
mod shared_socket;
mod silent_race;
pub mod software_versions;
pub mod state;
mod stdout_log;
pub mod store_item;
pub mod store_log;
pub mod store_read;
pub mod store_updates;
mod store_watch;
mod stream_log;
pub mod stream_origins;
mod stream_relay;
mod unconfirmed_sends;
pub mod usage_limits;
pub mod wire;
