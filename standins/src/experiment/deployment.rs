//! The two deployments of the experiments: data centres, services, engines, tiers, customers and
//! their requests.

use std::str::FromStr;

use super::time_model::TimeModel;
use crate::fleet::{CustomerRow, Fleet, FleetBuilder, RuleRow, ServiceSpec, TierRow};
use crate::load::{Mix, RequestClass};

/// Number of instances of each deployment.
const INSTANCES: usize = 7;
/// Number of plain servers of each deployment.
const PLAIN_SERVERS: usize = 3;
/// Duration of a call to a plain server in milliseconds.
const PLAIN_DELAY_MS: u64 = 50;
/// Limit of tokens in progress published for each plain server.
const PLAIN_TOKEN_LIMIT_TOKENS: u32 = 65_536;
/// Prefill speed published for each plain server, in tokens per second.
const PLAIN_TOKENS_PER_S: u32 = 1_000_000;
/// Speed factors of the ten engines.
const SPEEDS: [f64; 10] = [1.0, 0.7, 1.4, 0.8, 1.2, 0.6, 1.0, 1.4, 0.7, 1.2];
/// Limit of tokens in progress published for each engine.
const TOKEN_LIMIT_TOKENS: u32 = 16_384;
/// Number of shared prefixes of each class of model requests.
const PREFIXES: u64 = 4;
/// Length of a shared prefix in tokens.
const PREFIX_TOKENS: u64 = 512;
/// Time model of the engines.
const TIME_MODEL: TimeModel = TimeModel {
    batch_tokens: 256,
    cache_blocks: 128,
    decode_us_per_token: 1_000,
    max_running: 16,
    prefill_us_per_token: 200,
    step_base_us: 20_000,
};

/// One of the two deployments.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Deployment {
    /// Fitting plans as the model service, order desks as the plain service.
    Norrland,
    /// Drafts, answers and critiques as the model service, a table desk as the plain service.
    SierraNorte,
}

/// Values in which the deployments differ.
struct Description {
    customers: [(&'static str, u32, &'static str); 5],
    data_centres: [&'static str; 3],
    model: &'static str,
    model_service: &'static str,
    plain_service: &'static str,
    requests: Vec<RequestClass>,
    /// Name, deadline, time to the first token and time between tokens, highest tier first; times
    /// in milliseconds.
    tiers: [(&'static str, u64, u64, u64); 3],
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        match name {
            "norrland" => Ok(Self::Norrland),
            "sierra-norte" => Ok(Self::SierraNorte),
            _ => Err(format!("no deployment is named {name}; there are norrland, sierra-norte")),
        }
    }
}

impl Deployment {
    /// Returns the mix of requests that its customers send.
    pub fn mix(self) -> Mix {
        Mix { classes: self.description().requests }
    }

    /// Returns the requests per second that its engines can serve.
    pub fn capacity_per_s(self) -> f64 {
        TIME_MODEL.capacity_per_s(&self.mix(), self.description().model_service, &SPEEDS)
    }

    /// Returns the name of one of its engines, counted from 1.
    pub fn engine(self, number: usize) -> String {
        format!("{}-{number}", self.description().model_service)
    }

    /// Returns a builder of its fleet.
    pub fn fleet(self) -> FleetBuilder {
        let description = self.description();
        let mut builder = Fleet::builder()
            .data_centres(&description.data_centres)
            .instances(INSTANCES)
            .service(engines(&description))
            .service(plain_servers(&description));
        for (rank, (name, deadline_ms, first_token_ms, between_tokens_ms)) in
            (0..).zip(description.tiers)
        {
            let name = name.to_owned();
            let row = TierRow { between_tokens_ms, deadline_ms, first_token_ms, name, rank };
            builder = builder.tier_row(row);
        }
        for (name, weight, tier) in description.customers {
            let (name, tier) = (name.to_owned(), tier.to_owned());
            builder = builder.customer_row(CustomerRow { name, tier, weight });
        }
        builder.rule(RuleRow {
            idempotent: Some(false),
            name: "bookings".to_owned(),
            path: Some("bookings".to_owned()),
            service: Some(description.plain_service.to_owned()),
            ..RuleRow::default()
        })
    }

    fn description(self) -> Description {
        match self {
            Self::Norrland => norrland(),
            Self::SierraNorte => sierra_norte(),
        }
    }
}

fn engines(description: &Description) -> ServiceSpec {
    let prefill_tokens_per_s = 1_000_000 / TIME_MODEL.prefill_us_per_token;
    let options = TIME_MODEL.options();
    let options: Vec<&str> = options.iter().map(String::as_str).collect();
    let mut spec = ServiceSpec::model(description.model_service, description.model, SPEEDS.len())
        .options(&options)
        .prefill_tokens_per_s(prefill_tokens_per_s as u32)
        .token_limit_tokens(TOKEN_LIMIT_TOKENS);
    for (number, speed) in (1..).zip(SPEEDS) {
        spec = spec.server_options(number, &["--speed", &speed.to_string()]);
    }
    spec
}

fn plain_servers(description: &Description) -> ServiceSpec {
    let delay_ms = PLAIN_DELAY_MS.to_string();
    ServiceSpec::plain(description.plain_service, PLAIN_SERVERS)
        .options(&["--delay-ms", &delay_ms])
        .prefill_tokens_per_s(PLAIN_TOKENS_PER_S)
        .token_limit_tokens(PLAIN_TOKEN_LIMIT_TOKENS)
}

fn norrland() -> Description {
    let model = |customer, tier, share| model_class("plan-model", customer, tier, share);
    Description {
        customers: [
            ("archive-pitea", 1, "background"),
            ("fitters-skelleftea", 1, "waiting"),
            ("home-care-umea", 4, "waiting"),
            ("hospital-norr", 6, "waiting"),
            ("housing-lulea", 2, "waiting"),
        ],
        data_centres: ["umea-a", "umea-b", "lulea-c"],
        model: "plan",
        model_service: "plan-model",
        plain_service: "order-desk",
        requests: vec![
            lengths(model("hospital-norr", "waiting", 0.10), (200, 3_200), (10, 60), 6_000),
            lengths(model("home-care-umea", "waiting", 0.12), (32, 400), (2, 40), 6_000),
            lengths(model("home-care-umea", "working", 0.18), (200, 3_200), (20, 150), 12_000),
            lengths(model("housing-lulea", "working", 0.12), (32, 1_600), (10, 100), 12_000),
            lengths(model("fitters-skelleftea", "working", 0.06), (32, 800), (2, 100), 12_000),
            lengths(model("archive-pitea", "background", 0.27), (32, 3_200), (2, 200), 16_000),
            plain_class("order-desk", "fitters-skelleftea", "waiting", "bookings"),
            plain_class("order-desk", "housing-lulea", "working", "status"),
        ],
        tiers: [
            ("waiting", 6_000, 1_500, 150),
            ("working", 12_000, 3_000, 200),
            ("background", 16_000, 6_000, 300),
        ],
    }
}

fn sierra_norte() -> Description {
    let model = |customer, tier, share| model_class("taller-voz", customer, tier, share);
    Description {
        customers: [
            ("club-cayambe", 2, "visitor"),
            ("club-otavalo", 1, "visitor"),
            ("club-quito", 4, "visitor"),
            ("judges", 4, "judge"),
            ("secretaries", 2, "secretary"),
        ],
        data_centres: ["quito-a", "quito-b", "cayambe"],
        model: "voz",
        model_service: "taller-voz",
        plain_service: "mesa-app",
        requests: vec![
            lengths(model("club-quito", "visitor", 0.20), (32, 400), (2, 60), 5_000),
            lengths(model("club-cayambe", "visitor", 0.10), (32, 400), (2, 60), 5_000),
            lengths(model("club-otavalo", "secretary", 0.10), (100, 1_600), (10, 120), 12_000),
            lengths(model("secretaries", "secretary", 0.20), (100, 3_200), (10, 120), 12_000),
            lengths(model("judges", "judge", 0.25), (800, 3_200), (40, 200), 18_000),
            plain_class("mesa-app", "club-quito", "visitor", "bookings"),
            plain_class("mesa-app", "club-cayambe", "visitor", "status"),
        ],
        tiers: [
            ("visitor", 5_000, 1_500, 150),
            ("secretary", 12_000, 3_000, 200),
            ("judge", 18_000, 8_000, 300),
        ],
    }
}

fn model_class(service: &str, customer: &str, tier: &str, share: f64) -> RequestClass {
    RequestClass {
        customer: customer.to_owned(),
        prefix_tokens: PREFIX_TOKENS,
        prefixes: PREFIXES,
        service: service.to_owned(),
        share,
        tier: tier.to_owned(),
        ..RequestClass::default()
    }
}

fn lengths(
    class: RequestClass,
    prompt: (u64, u64),
    output: (u64, u64),
    deadline_ms: u64,
) -> RequestClass {
    RequestClass {
        deadline_ms,
        output_tokens_max: output.1,
        output_tokens_min: output.0,
        prompt_tokens_max: prompt.1,
        prompt_tokens_min: prompt.0,
        ..class
    }
}

fn plain_class(service: &str, customer: &str, tier: &str, path: &str) -> RequestClass {
    RequestClass {
        customer: customer.to_owned(),
        deadline_ms: 5_000,
        keyed: path == "bookings",
        output_tokens_max: 1,
        output_tokens_min: 1,
        path: path.to_owned(),
        plain: true,
        prefixes: 0,
        prompt_tokens_max: 64,
        prompt_tokens_min: 32,
        service: service.to_owned(),
        share: 0.075,
        tier: tier.to_owned(),
        ..RequestClass::default()
    }
}
