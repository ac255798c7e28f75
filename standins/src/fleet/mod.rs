//! Harness that runs a fleet of real processes for tests and experiments.

mod binaries;
mod builder;
mod error;
mod faults;
mod http_client;
mod inventory;
mod process;
mod running;
mod settings;
mod start;
mod wait;

pub use binaries::{binary, standin};
pub use builder::{FleetBuilder, ServiceSpec};
pub use error::FleetError;
pub use http_client::{get_json, post_json, put_json};
pub use inventory::{
    BackendServerRow, CustomerRow, InstanceRow, InventoryDocument, RuleRow, ServiceRow, TierRow,
};
pub use process::Process;
pub use running::{Fleet, RunningBackend, RunningInstance};
pub use settings::SettingsDocument;
pub use wait::wait_until;
