//! A request scheduler for unlike inference engines.

pub mod error;
pub mod final_answer;
pub mod finding;
pub mod inventory;
pub mod load_report;
pub mod name;
pub mod now;
pub mod peer_message;
pub mod request_id;
pub mod scheduler;
pub mod scheduling;
pub mod settings;
