//! Reads each kind of section of the inventory into its type.

use crate::ini_value::{address, choice, flag, number, reference, time_ms};
use crate::inventory::{BackendServer, Customer, Instance, Rule, Service, ServiceKind, Tier};
use crate::name::Name;
use crate::request_path::is_rule_path;
use crate::section_reader::SectionReader;

const MAX_COUNT: u64 = u32::MAX as u64;
const MAX_RANK: u64 = u8::MAX as u64;
const MAX_WEIGHT: u64 = 1_000_000;

const KINDS: &[(&str, Kind)] = &[("model", Kind::Model), ("plain", Kind::Plain)];

/// Names to which sections may refer, each list sorted.
#[derive(Clone, Debug, Default)]
pub struct DeclaredNames {
    /// Customers.
    pub customers: Vec<Name>,
    /// Data centres.
    pub data_centres: Vec<Name>,
    /// Models.
    pub models: Vec<Name>,
    /// Services.
    pub services: Vec<Name>,
    /// Tiers.
    pub tiers: Vec<Name>,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Kind {
    Model,
    Plain,
}

/// Reads a `[backend_server NAME]`.
pub fn read_backend_server(
    section: &mut SectionReader<'_>,
    names: &DeclaredNames,
) -> Option<BackendServer> {
    let address = section.required("address", address);
    let data_centre =
        section.required("data_centre", reference("data_centre", &names.data_centres));
    let fencing = section.or_default("fencing", false, flag);
    let leaving = section.or_default("leaving", false, flag);
    let prefill_tokens_per_s = section.required("prefill_tokens_per_s", number(1..=MAX_COUNT));
    let service = section.required("service", reference("service", &names.services));
    let token_limit_tokens = section.required("token_limit_tokens", number(1..=MAX_COUNT));
    Some(BackendServer {
        address: address?,
        data_centre: data_centre?,
        fencing: fencing?,
        leaving: leaving?,
        name: section.name(),
        prefill_tokens_per_s: prefill_tokens_per_s?,
        service: service?,
        token_limit_tokens: token_limit_tokens?,
    })
}

/// Reads a `[customer NAME]`.
pub fn read_customer(section: &mut SectionReader<'_>, names: &DeclaredNames) -> Option<Customer> {
    let tier = section.required("tier", reference("tier", &names.tiers));
    let weight = section.required("weight", number(1..=MAX_WEIGHT));
    Some(Customer { name: section.name(), tier: tier?, weight: weight? })
}

/// Reads an `[instance NAME]`.
pub fn read_instance(section: &mut SectionReader<'_>, names: &DeclaredNames) -> Option<Instance> {
    let caller_address = section.required("caller_address", address);
    let data_centre =
        section.required("data_centre", reference("data_centre", &names.data_centres));
    let peer_address = section.required("peer_address", address);
    Some(Instance {
        caller_address: caller_address?,
        data_centre: data_centre?,
        name: section.name(),
        peer_address: peer_address?,
    })
}

/// Reads a `[rule NAME]`.
pub fn read_rule(section: &mut SectionReader<'_>, names: &DeclaredNames) -> Option<Rule> {
    let customer = section.optional("customer", reference("customer", &names.customers));
    let idempotent = section.optional("idempotent", flag);
    let path = section.optional("path", rule_path);
    let service = section.optional("service", reference("service", &names.services));
    let tier = section.optional("tier", reference("tier", &names.tiers));
    if matches!((&idempotent, &tier), (Some(None), Some(None))) {
        let message = format!("Rule '{}' sets neither 'tier' nor 'idempotent'.", section.name());
        section.add_finding("", message);
    }
    Some(Rule {
        customer: customer?,
        idempotent: idempotent?,
        name: section.name(),
        path: path?,
        service: service?,
        tier: tier?,
    })
}

/// Reads a `[service NAME]`.
pub fn read_service(section: &mut SectionReader<'_>, names: &DeclaredNames) -> Option<Service> {
    let kind = section.required("kind", choice(KINDS));
    let idempotent = section.optional("idempotent", flag);
    let model = section.optional("model", reference("model", &names.models));
    let kind = kind?;
    let service_kind = service_kind(section, kind, model?);
    Some(Service {
        idempotent: idempotent?.unwrap_or(kind == Kind::Model),
        kind: service_kind?,
        name: section.name(),
    })
}

/// Reads a `[tier NAME]`.
pub fn read_tier(section: &mut SectionReader<'_>) -> Option<Tier> {
    let between_tokens_ms = section.required("between_tokens_ms", time_ms);
    let deadline_ms = section.required("deadline_ms", time_ms);
    let first_token_ms = section.required("first_token_ms", time_ms);
    let rank = section.required("rank", number(0..=MAX_RANK));
    check_below_deadline(section, "between_tokens_ms", between_tokens_ms, deadline_ms);
    check_below_deadline(section, "first_token_ms", first_token_ms, deadline_ms);
    Some(Tier {
        between_tokens_ms: between_tokens_ms?,
        deadline_ms: deadline_ms?,
        first_token_ms: first_token_ms?,
        name: section.name(),
        rank: rank?,
    })
}

fn check_below_deadline(
    section: &mut SectionReader<'_>,
    key: &str,
    time_ms: Option<u64>,
    deadline_ms: Option<u64>,
) {
    let (Some(time_ms), Some(deadline_ms)) = (time_ms, deadline_ms) else {
        return;
    };
    if time_ms > deadline_ms {
        let message = format!("'{key}' {time_ms} is above 'deadline_ms' {deadline_ms}.");
        section.add_finding(key, message);
    }
}

fn rule_path(key: &str, value: &str) -> Result<Name, String> {
    let path = value.trim_matches('/');
    if is_rule_path(path) {
        return Ok(path.into());
    }
    Err(format!("'{key}' must be a path such as 'bookings/new', not '{value}'."))
}

fn service_kind(
    section: &mut SectionReader<'_>,
    kind: Kind,
    model: Option<Name>,
) -> Option<ServiceKind> {
    match (kind, model) {
        (Kind::Model, Some(model)) => Some(ServiceKind::Model(model)),
        (Kind::Plain, None) => Some(ServiceKind::Plain),
        (Kind::Model, None) => {
            let message = format!("Service '{}' of kind 'model' needs 'model'.", section.name());
            section.add_finding("kind", message);
            None
        }
        (Kind::Plain, Some(_)) => {
            let message =
                format!("Service '{}' of kind 'plain' can't have 'model'.", section.name());
            section.add_finding("model", message);
            None
        }
    }
}
