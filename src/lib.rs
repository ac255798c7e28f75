//! A request scheduler for unlike inference engines.

pub mod back_off;
pub mod error;
pub mod final_answer;
pub mod finding;
pub mod inventory;
pub mod load_report;
pub mod name;
pub mod now;
pub mod peer_codec;
pub mod peer_event;
pub mod peer_hello;
mod peer_link;
pub mod peer_links;
pub mod peer_links_settings;
pub mod peer_message;
mod peer_outboxes;
mod peer_registry;
mod peer_supervisor;
pub mod request_id;
pub mod scheduler;
pub mod scheduling;
pub mod settings;
