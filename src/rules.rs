//! Applies the operators' rules to one request: they decide its tier and whether it is idempotent.

use thiserror::Error;

use crate::inventory::{Customer, Inventory, Rule, Service, Tier};
use crate::name::Name;
use crate::nearest_name::hint;
use crate::request_path::{normal_path, path_matches};

/// The properties of a request that rules match.
#[derive(Clone, Copy, Debug)]
pub struct RuleQuery<'a> {
    /// Customer that sent the request.
    pub customer: &'a str,
    /// Path below the service; a query after `?` is ignored.
    pub path: &'a str,
    /// Tier that the caller requests, if any.
    pub requested_tier: Option<&'a str>,
    /// Service that the request is for.
    pub service: &'a str,
}

/// Result of the rules for one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RuleMatch<'a> {
    /// Customer that sent the request.
    pub customer: &'a Customer,
    /// Whether the request may be repeated.
    pub idempotent: bool,
    /// Service that the request is for.
    pub service: &'a Service,
    /// Tier that the request gets.
    pub tier: &'a Tier,
}

/// Why the rules can't be applied to a request.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum RuleError {
    /// The path isn't in normal form, so it could bypass rules.
    #[error("Path '{path}' isn't in normal form.")]
    PathNotNormal {
        /// The path.
        path: String,
    },
    /// The caller requests a tier above the one that the rules give.
    #[error("Tier '{requested}' is above tier '{given}', which the rules give.")]
    TierRaised {
        /// Tier that the rules give.
        given: Name,
        /// Tier that the caller requests.
        requested: Name,
    },
    /// There is no such customer.
    #[error("Unknown customer '{customer}'{hint}")]
    UnknownCustomer {
        /// The customer.
        customer: String,
        /// End of the message with the nearest name.
        hint: String,
    },
    /// There is no such service.
    #[error("Unknown service '{service}'{hint}")]
    UnknownService {
        /// End of the message with the nearest name.
        hint: String,
        /// The service.
        service: String,
    },
    /// There is no such tier.
    #[error("Unknown tier '{tier}'{hint}")]
    UnknownTier {
        /// End of the message with the nearest name.
        hint: String,
        /// The tier.
        tier: String,
    },
}

impl RuleError {
    /// Returns the HTTP status that the caller gets.
    pub fn http_status(&self) -> u16 {
        match self {
            Self::PathNotNormal { .. } | Self::TierRaised { .. } | Self::UnknownTier { .. } => 400,
            Self::UnknownCustomer { .. } => 403,
            Self::UnknownService { .. } => 404,
        }
    }
}

/// Applies the rules of `inventory` to one request.
///
/// Tier and idempotence are each set by the first matching rule that has them, else by the customer
/// and the service. The caller may request a lower tier. A higher one is rejected rather than
/// ignored, so that no caller assumes a tier that it doesn't have.
///
/// # Errors
///
/// Returns a [`RuleError`] if service, customer or requested tier don't exist, the requested tier
/// is too high, or the path isn't in normal form.
pub fn apply_rules<'a>(
    inventory: &'a Inventory,
    query: &RuleQuery<'_>,
) -> Result<RuleMatch<'a>, RuleError> {
    let service = inventory.service(query.service).ok_or_else(|| RuleError::UnknownService {
        hint: hint(query.service, inventory.services.iter().map(|service| &service.name)),
        service: query.service.into(),
    })?;
    let customer =
        inventory.customer(query.customer).ok_or_else(|| RuleError::UnknownCustomer {
            customer: query.customer.into(),
            hint: hint(query.customer, inventory.customers.iter().map(|customer| &customer.name)),
        })?;
    let path = normal_path(query.path)
        .ok_or_else(|| RuleError::PathNotNormal { path: query.path.into() })?;
    let matching = || inventory.rules.iter().filter(|rule| matches(rule, query, path));
    let idempotent = matching().find_map(|rule| rule.idempotent).unwrap_or(service.idempotent);
    let tier_name = matching().find_map(|rule| rule.tier.as_ref()).unwrap_or(&customer.tier);
    let given = find_tier(inventory, tier_name)?;
    let tier = apply_requested_tier(inventory, given, query.requested_tier)?;
    Ok(RuleMatch { customer, idempotent, service, tier })
}

fn find_tier<'a>(inventory: &'a Inventory, name: &str) -> Result<&'a Tier, RuleError> {
    inventory.tier(name).ok_or_else(|| RuleError::UnknownTier {
        hint: hint(name, inventory.tiers.iter().map(|tier| &tier.name)),
        tier: name.into(),
    })
}

fn apply_requested_tier<'a>(
    inventory: &'a Inventory,
    given: &'a Tier,
    requested: Option<&str>,
) -> Result<&'a Tier, RuleError> {
    let Some(requested) = requested else {
        return Ok(given);
    };
    let requested = find_tier(inventory, requested)?;
    if requested.rank < given.rank {
        return Err(RuleError::TierRaised {
            given: given.name.clone(),
            requested: requested.name.clone(),
        });
    }
    Ok(requested)
}

fn matches(rule: &Rule, query: &RuleQuery<'_>, path: &str) -> bool {
    rule.customer.as_deref().is_none_or(|customer| customer == query.customer)
        && rule.service.as_deref().is_none_or(|service| service == query.service)
        && rule.path.as_deref().is_none_or(|start| path_matches(start, path))
}
