//! Checks of the inventory that compare several sections.

use std::net::SocketAddr;

use crate::finding_list::FindingList;
use crate::ini_document::IniDocument;
use crate::inventory::{Inventory, Rule, ServiceKind};
use crate::request_path::path_matches;

/// Adds findings on contradictions between sections of `document`, from which `inventory` was read.
pub fn check_inventory(inventory: &Inventory, document: &IniDocument, findings: &mut FindingList) {
    if document.section("instance").is_none() {
        findings.add(0, "There is no '[instance NAME]'.");
    }
    check_addresses(document, findings);
    check_ranks(inventory, document, findings);
    check_rules(inventory, document, findings);
}

fn check_addresses(document: &IniDocument, findings: &mut FindingList) {
    let mut seen: Vec<(SocketAddr, u32)> = Vec::new();
    for key in document.sections.iter().flat_map(|section| &section.keys) {
        if !matches!(key.name.as_str(), "address" | "caller_address" | "peer_address") {
            continue;
        }
        let Ok(address) = key.value.parse() else {
            continue;
        };
        match seen.binary_search_by_key(&address, |(address, _)| *address) {
            Ok(index) => {
                let line = seen[index].1;
                findings
                    .add(key.line, format!("Address '{address}' is already used on line {line}."));
            }
            Err(index) => seen.insert(index, (address, key.line)),
        }
    }
}

fn check_ranks(inventory: &Inventory, document: &IniDocument, findings: &mut FindingList) {
    for pair in inventory.tiers.windows(2) {
        if pair[0].rank != pair[1].rank {
            continue;
        }
        let message = format!(
            "Tier '{}' has the same rank, {}, as tier '{}'.",
            pair[1].name, pair[1].rank, pair[0].name
        );
        findings.add(key_line(document, "tier", &pair[1].name, "rank"), message);
    }
}

fn check_rules(inventory: &Inventory, document: &IniDocument, findings: &mut FindingList) {
    for (index, rule) in inventory.rules.iter().enumerate() {
        let earlier = &inventory.rules[..index];
        if rule.idempotent.is_some() {
            let overriding_rule =
                earlier.iter().find(|e| e.idempotent.is_some() && covers(e, rule));
            report_ineffective_key("idempotent", rule, overriding_rule, document, findings);
        }
        if rule.tier.is_some() {
            let overriding_rule = earlier.iter().find(|e| e.tier.is_some() && covers(e, rule));
            report_ineffective_key("tier", rule, overriding_rule, document, findings);
        }
        check_model_rule(inventory, rule, document, findings);
    }
}

fn check_model_rule(
    inventory: &Inventory,
    rule: &Rule,
    document: &IniDocument,
    findings: &mut FindingList,
) {
    let service = rule.service.as_ref().and_then(|service| inventory.service(service));
    let Some(service) = service else {
        return;
    };
    if rule.idempotent == Some(false) && matches!(service.kind, ServiceKind::Model(_)) {
        let message = format!(
            "Rule '{}' makes requests of model service '{}' non-idempotent; set 'idempotent' for \
             the whole service in '[service {}]'.",
            rule.name, service.name, service.name
        );
        findings.add(key_line(document, "rule", &rule.name, "idempotent"), message);
    }
}

/// Returns whether `earlier` matches every request that `later` matches.
fn covers(earlier: &Rule, later: &Rule) -> bool {
    let customer = earlier.customer.is_none() || earlier.customer == later.customer;
    let service = earlier.service.is_none() || earlier.service == later.service;
    let path = match (&earlier.path, &later.path) {
        (None, _) => true,
        (Some(_), None) => false,
        (Some(start), Some(path)) => path_matches(start, path),
    };
    customer && service && path
}

fn report_ineffective_key(
    key: &str,
    rule: &Rule,
    overriding_rule: Option<&Rule>,
    document: &IniDocument,
    findings: &mut FindingList,
) {
    let Some(overriding_rule) = overriding_rule else {
        return;
    };
    let line = key_line(document, "rule", &overriding_rule.name, key);
    let message = format!(
        "'{key}' of rule '{}' never takes effect: rule '{}' on line {line} takes precedence.",
        rule.name, overriding_rule.name
    );
    findings.add(key_line(document, "rule", &rule.name, key), message);
}

fn key_line(document: &IniDocument, kind: &str, name: &str, key: &str) -> u32 {
    let section = document.sections_of_kind(kind).find(|section| section.name == name);
    section.map_or(0, |section| section.line_of(key))
}
