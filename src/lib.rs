//! A request scheduler for unlike inference engines.

pub mod check_change;
pub mod error;
pub mod final_answer;
pub mod finding;
pub mod finding_list;
pub mod ini_document;
pub mod ini_value;
pub mod inventory;
pub mod inventory_checks;
pub mod inventory_sections;
pub mod load_report;
pub mod name;
pub mod nearest_name;
pub mod now;
pub mod parse_inventory;
pub mod parse_settings;
pub mod peer_message;
pub mod request_id;
pub mod rules;
pub mod scheduler;
pub mod scheduling;
pub mod section_reader;
pub mod section_schema;
pub mod settings;
