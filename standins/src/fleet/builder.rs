//! Builder of a fleet and description of its services.

use std::fmt::Display;

use super::error::FleetError;
use super::inventory::{CustomerRow, RuleRow, TierRow};
use super::running::Fleet;
use super::settings::SettingsDocument;
use super::start;

/// Default number of instances.
const INSTANCES: usize = 3;

/// Prefill speed published for an engine, in tokens per second; matches the default options of an
/// engine.
const PREFILL_TOKENS_PER_S: u32 = 50_000;

/// Limit of tokens in progress published for an engine.
const TOKEN_LIMIT_TOKENS: u32 = 16_384;

/// Default limit of the wait until every instance is ready.
const READY_LIMIT_MS: u64 = 20_000;

/// A service and its backend servers.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    pub(super) count: usize,
    pub(super) idempotent: bool,
    pub(super) model: Option<String>,
    pub(super) name: String,
    pub(super) options: Vec<String>,
    pub(super) server_options: Vec<(usize, Vec<String>)>,
    pub(super) prefill_tokens_per_s: Option<u32>,
    pub(super) token_limit_tokens: Option<u32>,
}

impl ServiceSpec {
    /// Describes a model service with `count` engines.
    pub fn model(name: &str, model: &str, count: usize) -> Self {
        Self {
            model: Some(model.to_owned()),
            prefill_tokens_per_s: Some(PREFILL_TOKENS_PER_S),
            token_limit_tokens: Some(TOKEN_LIMIT_TOKENS),
            ..Self::plain(name, count)
        }
    }

    /// Describes a plain service with `count` servers; its requests are idempotent.
    pub fn plain(name: &str, count: usize) -> Self {
        Self {
            count,
            idempotent: true,
            model: None,
            name: name.to_owned(),
            options: Vec::new(),
            server_options: Vec::new(),
            prefill_tokens_per_s: None,
            token_limit_tokens: None,
        }
    }

    /// Sets whether its requests are idempotent.
    pub fn idempotent(mut self, idempotent: bool) -> Self {
        self.idempotent = idempotent;
        self
    }

    /// Adds command-line options of all its backend servers.
    pub fn options(mut self, options: &[&str]) -> Self {
        self.options.extend(options.iter().map(ToString::to_string));
        self
    }

    /// Adds command-line options of one backend server, counted from 1.
    pub fn server_options(mut self, number: usize, options: &[&str]) -> Self {
        self.server_options.push((number, options.iter().map(ToString::to_string).collect()));
        self
    }

    /// Sets the published prefill speed in tokens per second.
    pub fn prefill_tokens_per_s(mut self, speed: u32) -> Self {
        self.prefill_tokens_per_s = Some(speed);
        self
    }

    /// Sets the published limit of tokens in progress.
    pub fn token_limit_tokens(mut self, limit: u32) -> Self {
        self.token_limit_tokens = Some(limit);
        self
    }
}

/// Builds a [`Fleet`].
#[derive(Clone, Debug)]
pub struct FleetBuilder {
    pub(super) customers: Vec<CustomerRow>,
    pub(super) data_centres: Vec<String>,
    pub(super) instances: usize,
    pub(super) proxied_backend_servers: bool,
    pub(super) proxied_peers: bool,
    pub(super) proxied_platform: bool,
    pub(super) ready_limit_ms: u64,
    pub(super) rules: Vec<RuleRow>,
    pub(super) services: Vec<ServiceSpec>,
    pub(super) settings: SettingsDocument,
    pub(super) tiers: Vec<TierRow>,
}

impl Default for FleetBuilder {
    fn default() -> Self {
        Self {
            customers: Vec::new(),
            data_centres: ["dc-a", "dc-b", "dc-c"].map(String::from).to_vec(),
            instances: INSTANCES,
            proxied_backend_servers: false,
            proxied_peers: false,
            proxied_platform: false,
            ready_limit_ms: READY_LIMIT_MS,
            rules: Vec::new(),
            services: Vec::new(),
            settings: SettingsDocument::default(),
            tiers: Vec::new(),
        }
    }
}

impl FleetBuilder {
    /// Sets the data centres, to which instances and backend servers are assigned in turn.
    pub fn data_centres(mut self, names: &[&str]) -> Self {
        self.data_centres = names.iter().map(ToString::to_string).collect();
        self
    }

    /// Sets the number of instances, which are named `entry-1` and so on.
    pub fn instances(mut self, count: usize) -> Self {
        self.instances = count;
        self
    }

    /// Adds a service; its backend servers are named `{service}-1` and so on.
    pub fn service(mut self, service: ServiceSpec) -> Self {
        self.services.push(service);
        self
    }

    /// Adds a customer with weight 1.
    pub fn customer(self, name: &str, tier: &str) -> Self {
        self.customer_row(CustomerRow { name: name.to_owned(), weight: 1, tier: tier.to_owned() })
    }

    /// Adds a customer.
    pub fn customer_row(mut self, row: CustomerRow) -> Self {
        self.customers.push(row);
        self
    }

    /// Adds a tier of the next rank with a deadline in milliseconds.
    pub fn tier(self, name: &str, deadline_ms: u64) -> Self {
        let rank = self.tiers.len() as u8;
        self.tier_row(TierRow {
            name: name.to_owned(),
            rank,
            deadline_ms,
            first_token_ms: deadline_ms / 2,
            between_tokens_ms: deadline_ms / 2,
        })
    }

    /// Adds a tier.
    pub fn tier_row(mut self, row: TierRow) -> Self {
        self.tiers.push(row);
        self
    }

    /// Adds a rule.
    pub fn rule(mut self, row: RuleRow) -> Self {
        self.rules.push(row);
        self
    }

    /// Sets a value in the settings of every instance.
    pub fn setting<V>(mut self, section: &str, key: &str, value: V) -> Self
    where
        V: Display,
    {
        self.settings.set(section, key, value);
        self
    }

    /// Puts the fault proxy in front of the backend servers.
    pub fn proxy_backend_servers(mut self) -> Self {
        self.proxied_backend_servers = true;
        self
    }

    /// Puts the fault proxy between the instances.
    pub fn proxy_peers(mut self) -> Self {
        self.proxied_peers = true;
        self
    }

    /// Puts the fault proxy in front of the platform.
    pub fn proxy_platform(mut self) -> Self {
        self.proxied_platform = true;
        self
    }

    /// Sets the limit of the wait until every instance is ready, in milliseconds.
    pub fn ready_limit_ms(mut self, limit_ms: u64) -> Self {
        self.ready_limit_ms = limit_ms;
        self
    }

    /// Starts every process, publishes the inventory and waits until each instance is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a program is absent, a process doesn't start or an instance does not
    /// become ready in time. Processes that were started are killed.
    pub fn start(self) -> Result<Fleet, FleetError> {
        let ready_limit_ms = self.ready_limit_ms;
        let fleet = self.start_unready()?;
        fleet.wait_ready(ready_limit_ms)?;
        Ok(fleet)
    }

    /// Starts every process and publishes the inventory, without a wait for the instances.
    ///
    /// # Errors
    ///
    /// Returns an error if a program is absent or a process doesn't start.
    pub fn start_unready(mut self) -> Result<Fleet, FleetError> {
        if self.tiers.is_empty() {
            self = self.tier("high", 10_000).tier("low", 30_000);
        }
        if self.customers.is_empty() {
            let highest = self.tiers.first().map(|tier| tier.name.clone()).unwrap_or_default();
            self = self.customer("customer-1", &highest);
        }
        start::start(self)
    }
}
