//! Setup shared by all trials of an experiment: load, fleet and faults.

use std::time::Duration;

use super::deployment::Deployment;
use super::timed_faults::TimedFault;
use crate::fleet::{Fleet, FleetBuilder, ServiceSpec, TierRow};
use crate::load::{LoadPlan, Mix};

/// Policy that sends the load directly to the engines in turn, without bergamotspan.
pub(super) const DIRECT: &str = "direct";

/// Speed factors assigned to the engines of a service in turn.
const SPEEDS: [&str; 4] = ["1.0", "0.7", "0.4", "1.3"];

/// Additional arrivals for a limited time.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Start, counted from the start of the load.
    pub at: Duration,
    /// Duration.
    pub duration: Duration,
    /// Requests per second, in addition to the base load.
    pub rate_per_s: f64,
}

/// Setup shared by all trials of an experiment.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Burst, if any.
    pub burst: Option<Burst>,
    /// Deployment; if `None`, every service of the mix gets the same number and speeds of engines.
    pub deployment: Option<Deployment>,
    /// Duration of the arrivals.
    pub duration: Duration,
    /// Engines of each service, without a deployment.
    pub engines: usize,
    /// Faults injected under load.
    pub faults: Vec<TimedFault>,
    /// Instances, without a deployment.
    pub instances: usize,
    /// Classes of requests.
    pub mix: Mix,
    /// Requests per second.
    pub rate_per_s: f64,
}

impl Setup {
    pub(super) fn plan(&self, seed: u64) -> LoadPlan {
        let plan = LoadPlan::poisson(self.mix.clone(), self.rate_per_s, self.duration, seed);
        match self.burst {
            Some(burst) => plan.burst(burst.rate_per_s, burst.at, burst.duration, seed),
            None => plan,
        }
    }

    pub(super) fn fleet(&self, policy: &str) -> FleetBuilder {
        let builder = match self.deployment {
            Some(deployment) => deployment.fleet(),
            None => self.equal_services().instances(self.instances),
        };
        match policy {
            DIRECT => builder.instances(0),
            _ => builder.setting("dispatch", "policy", policy),
        }
    }

    fn equal_services(&self) -> FleetBuilder {
        let mut builder = Fleet::builder();
        for service in distinct(self.mix.classes.iter().map(|class| &class.service)) {
            let mut spec = ServiceSpec::model(service, service, self.engines);
            for (number, speed) in (1..=self.engines).zip(SPEEDS.iter().cycle()) {
                spec = spec.server_options(number, &["--speed", speed]);
            }
            builder = builder.service(spec);
        }
        builder = add_tiers(builder, &self.mix);
        // A request may lower the tier of its customer, but not raise it.
        let highest = self.mix.classes.first().map_or("", |class| class.tier.as_str());
        for customer in distinct(self.mix.classes.iter().map(|class| &class.customer)) {
            builder = builder.customer(customer, highest);
        }
        builder
    }
}

/// Adds the tiers of a mix, ranked in the order of their first appearance.
fn add_tiers(mut builder: FleetBuilder, mix: &Mix) -> FleetBuilder {
    for (rank, name) in (0..).zip(distinct(mix.classes.iter().map(|class| &class.tier))) {
        let classes = mix.classes.iter().filter(|class| class.tier == *name);
        let deadline_ms = classes.clone().map(|class| class.deadline_ms).max().unwrap_or_default();
        let first_token_ms = classes.filter_map(|class| class.first_token_ms).max();
        builder = builder.tier_row(TierRow {
            name: name.clone(),
            rank,
            deadline_ms,
            first_token_ms: first_token_ms.unwrap_or(deadline_ms),
            between_tokens_ms: deadline_ms,
        });
    }
    builder
}

/// Returns the distinct names in the order of their first appearance.
fn distinct<'a, I>(names: I) -> Vec<&'a String>
where
    I: Iterator<Item = &'a String>,
{
    let mut found = Vec::new();
    for name in names {
        if !found.contains(&name) {
            found.push(name);
        }
    }
    found
}
