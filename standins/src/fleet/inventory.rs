//! Inventory that a fleet publishes through the platform, rendered as INI.

use std::fmt::{Display, Write};
use std::net::SocketAddr;

/// One `[instance]` section.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceRow {
    /// Name.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other instances.
    pub peer_address: SocketAddr,
}

/// One `[service]` section.
#[derive(Clone, Debug)]
pub struct ServiceRow {
    /// Name.
    pub name: String,
    /// Model of a model service; `None` for a plain service.
    pub model: Option<String>,
    /// Whether its requests are idempotent.
    pub idempotent: bool,
}

/// One `[backend_server]` section.
#[derive(Clone, Debug)]
pub struct BackendServerRow {
    /// Name.
    pub name: String,
    /// Service.
    pub service: String,
    /// Data centre.
    pub data_centre: String,
    /// Address.
    pub address: SocketAddr,
    /// Limit of tokens in progress, if published.
    pub token_limit_tokens: Option<u32>,
    /// Prefill speed in tokens per second, if published.
    pub prefill_tokens_per_s: Option<u32>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it checks fencing numbers.
    pub fencing: bool,
}

/// One `[tier]` section.
#[derive(Clone, Debug)]
pub struct TierRow {
    /// Name.
    pub name: String,
    /// Rank; 0 is the highest.
    pub rank: u8,
    /// Limit of the time to the end of the answer, in milliseconds.
    pub deadline_ms: u64,
    /// Target of the time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Target of the time between tokens, in milliseconds.
    pub between_tokens_ms: u64,
}

/// One `[customer]` section.
#[derive(Clone, Debug)]
pub struct CustomerRow {
    /// Name.
    pub name: String,
    /// Weight of its share within a tier.
    pub weight: u32,
    /// Default tier.
    pub tier: String,
}

/// One `[rule]` section.
#[derive(Clone, Debug, Default)]
pub struct RuleRow {
    /// Name.
    pub name: String,
    /// Customer to match.
    pub customer: Option<String>,
    /// Service to match.
    pub service: Option<String>,
    /// Path to match.
    pub path: Option<String>,
    /// Tier to set.
    pub tier: Option<String>,
    /// Idempotence to set.
    pub idempotent: Option<bool>,
}

/// An inventory document.
#[derive(Clone, Debug, Default)]
pub struct InventoryDocument {
    /// Version of the document.
    pub version: u64,
    /// Version of the set of instances.
    pub instances_version: u64,
    /// Data centres.
    pub data_centres: Vec<String>,
    /// Instances.
    pub instances: Vec<InstanceRow>,
    /// Services.
    pub services: Vec<ServiceRow>,
    /// Backend servers.
    pub backend_servers: Vec<BackendServerRow>,
    /// Tiers.
    pub tiers: Vec<TierRow>,
    /// Customers.
    pub customers: Vec<CustomerRow>,
    /// Rules in order of precedence.
    pub rules: Vec<RuleRow>,
}

impl InventoryDocument {
    /// Renders the document as INI.
    pub fn render(&self) -> String {
        let mut ini = Ini::default();
        ini.section("inventory", "");
        ini.pair("version", self.version);
        ini.pair("instances_version", self.instances_version);
        for data_centre in &self.data_centres {
            ini.section("data_centre", data_centre);
        }
        self.render_instances(&mut ini);
        self.render_services(&mut ini);
        self.render_backend_servers(&mut ini);
        self.render_tiers(&mut ini);
        self.render_customers(&mut ini);
        self.render_rules(&mut ini);
        ini.text
    }

    fn render_instances(&self, ini: &mut Ini) {
        for row in &self.instances {
            ini.section("instance", &row.name);
            ini.pair("data_centre", &row.data_centre);
            ini.pair("caller_address", row.caller_address);
            ini.pair("peer_address", row.peer_address);
        }
    }

    fn render_services(&self, ini: &mut Ini) {
        let mut models: Vec<&String> =
            self.services.iter().filter_map(|row| row.model.as_ref()).collect();
        models.sort();
        models.dedup();
        for model in models {
            ini.section("model", model);
        }
        for row in &self.services {
            ini.section("service", &row.name);
            ini.pair("kind", if row.model.is_some() { "model" } else { "plain" });
            ini.optional("model", row.model.as_ref());
            ini.pair("idempotent", row.idempotent);
        }
    }

    fn render_backend_servers(&self, ini: &mut Ini) {
        for row in &self.backend_servers {
            ini.section("backend_server", &row.name);
            ini.pair("service", &row.service);
            ini.pair("data_centre", &row.data_centre);
            ini.pair("address", row.address);
            ini.optional("token_limit_tokens", row.token_limit_tokens);
            ini.optional("prefill_tokens_per_s", row.prefill_tokens_per_s);
            ini.pair("leaving", row.leaving);
            ini.pair("fencing", row.fencing);
        }
    }

    fn render_tiers(&self, ini: &mut Ini) {
        for row in &self.tiers {
            ini.section("tier", &row.name);
            ini.pair("rank", row.rank);
            ini.pair("deadline_ms", row.deadline_ms);
            ini.pair("first_token_ms", row.first_token_ms);
            ini.pair("between_tokens_ms", row.between_tokens_ms);
        }
    }

    fn render_customers(&self, ini: &mut Ini) {
        for row in &self.customers {
            ini.section("customer", &row.name);
            ini.pair("weight", row.weight);
            ini.pair("tier", &row.tier);
        }
    }

    fn render_rules(&self, ini: &mut Ini) {
        for row in &self.rules {
            ini.section("rule", &row.name);
            ini.optional("customer", row.customer.as_ref());
            ini.optional("service", row.service.as_ref());
            ini.optional("path", row.path.as_ref());
            ini.optional("tier", row.tier.as_ref());
            ini.optional("idempotent", row.idempotent);
        }
    }
}

/// Writer of an INI document.
#[derive(Default)]
pub(super) struct Ini {
    pub text: String,
}

impl Ini {
    pub(super) fn section(&mut self, kind: &str, name: &str) {
        let space = if name.is_empty() { "" } else { " " };
        self.add_line(format_args!("[{kind}{space}{name}]"));
    }

    pub(super) fn pair<V>(&mut self, key: &str, value: V)
    where
        V: Display,
    {
        self.add_line(format_args!("{key} = {value}"));
    }

    fn optional<V>(&mut self, key: &str, value: Option<V>)
    where
        V: Display,
    {
        if let Some(value) = value {
            self.pair(key, value);
        }
    }

    fn add_line(&mut self, line: std::fmt::Arguments<'_>) {
        writeln!(self.text, "{line}").expect("writing to a string does not fail");
    }
}
