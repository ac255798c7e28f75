//! A request scheduler for unlike inference engines.

mod earlier_list;
pub mod error;
pub mod final_answer;
pub mod finding;
pub mod home_standing;
pub mod inventory;
pub mod key_home;
pub mod key_home_builder;
pub mod key_minting;
pub mod load_report;
mod member_record;
mod member_records;
pub mod membership;
pub mod membership_builder;
pub mod membership_event;
pub mod name;
pub mod now;
pub mod peer_message;
pub mod request_id;
pub mod rules;
pub mod scheduler;
pub mod scheduling;
pub mod settings;
pub mod view;
mod vote_count;
