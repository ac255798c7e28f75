//! Parses the inventory from INI.

use crate::error::Error;
use crate::finding_list::FindingList;
use crate::ini_document::IniDocument;
use crate::ini_value::number;
use crate::inventory::Inventory;
use crate::inventory_checks::check_inventory;
use crate::inventory_sections::{
    DeclaredNames, read_backend_server, read_customer, read_instance, read_rule, read_service,
    read_tier,
};
use crate::name::Name;
use crate::section_reader::SectionReader;
use crate::section_schema::{SectionSchema, check_schema};

/// Sections that the inventory may have.
pub const INVENTORY_SCHEMAS: &[SectionSchema] = &[
    named_section(
        "backend_server",
        &[
            "address",
            "data_centre",
            "fencing",
            "leaving",
            "prefill_tokens_per_s",
            "service",
            "token_limit_tokens",
        ],
    ),
    named_section("customer", &["tier", "weight"]),
    named_section("data_centre", &[]),
    named_section("instance", &["caller_address", "data_centre", "peer_address"]),
    SectionSchema { keys: &["instances_version", "version"], kind: "inventory", named: false },
    named_section("model", &[]),
    named_section("rule", &["customer", "idempotent", "path", "service", "tier"]),
    named_section("service", &["idempotent", "kind", "model"]),
    named_section("tier", &["between_tokens_ms", "deadline_ms", "first_token_ms", "rank"]),
];

/// Parses the inventory from the INI `text` of `file`.
///
/// # Errors
///
/// Returns [`Error::Findings`] with all findings, sorted by line, if there are any.
pub fn parse_inventory(file: &str, text: &str) -> Result<Inventory, Error> {
    let mut findings = FindingList::new(file);
    let Some(document) = IniDocument::parse(text, &mut findings) else {
        return findings.finish(None);
    };
    check_schema(&document, INVENTORY_SCHEMAS, &mut findings);
    let inventory = read_inventory(&document, &mut findings);
    check_inventory(&inventory, &document, &mut findings);
    findings.finish(Some(inventory))
}

const fn named_section(kind: &'static str, keys: &'static [&'static str]) -> SectionSchema {
    SectionSchema { keys, kind, named: true }
}

fn read_inventory(document: &IniDocument, findings: &mut FindingList) -> Inventory {
    let names = DeclaredNames::from_document(document);
    let (version, instances_version) = read_versions(document, findings).unwrap_or_default();
    let mut reader = InventoryReader { document, findings };
    let mut inventory = Inventory {
        backend_servers: reader
            .read_all("backend_server", |section| read_backend_server(section, &names)),
        customers: reader.read_all("customer", |section| read_customer(section, &names)),
        data_centres: names.data_centres.clone(),
        instances: reader.read_all("instance", |section| read_instance(section, &names)),
        instances_version,
        models: names.models.clone(),
        rules: reader.read_all("rule", |section| read_rule(section, &names)),
        services: reader.read_all("service", |section| read_service(section, &names)),
        tiers: reader.read_all("tier", read_tier),
        version,
    };
    sort_lists(&mut inventory);
    inventory
}

struct InventoryReader<'a> {
    document: &'a IniDocument,
    findings: &'a mut FindingList,
}

impl InventoryReader<'_> {
    fn read_all<T, R>(&mut self, kind: &str, read: R) -> Vec<T>
    where
        R: Fn(&mut SectionReader<'_>) -> Option<T>,
    {
        let mut items = Vec::new();
        for section in self.document.sections_of_kind(kind) {
            if self.findings.is_full() {
                break;
            }
            items.extend(read(&mut SectionReader::new(section, self.findings)));
        }
        items
    }
}

fn read_versions(document: &IniDocument, findings: &mut FindingList) -> Option<(u64, u64)> {
    let Some(section) = document.section("inventory") else {
        findings.add(0, "Section '[inventory]' is missing.");
        return None;
    };
    let mut section = SectionReader::new(section, findings);
    let version = section.required("version", number(1..=u64::MAX));
    let instances_version = section.required("instances_version", number(1..=u64::MAX));
    Some((version?, instances_version?))
}

fn sort_lists(inventory: &mut Inventory) {
    inventory.backend_servers.sort_by(|a, b| a.name.cmp(&b.name));
    inventory.customers.sort_by(|a, b| a.name.cmp(&b.name));
    inventory.instances.sort_by(|a, b| a.name.cmp(&b.name));
    inventory.services.sort_by(|a, b| a.name.cmp(&b.name));
    inventory.tiers.sort_by_key(|tier| tier.rank);
}

impl DeclaredNames {
    /// Collects the names of all sections, including those with findings.
    pub fn from_document(document: &IniDocument) -> Self {
        Self {
            customers: declared_names(document, "customer"),
            data_centres: declared_names(document, "data_centre"),
            models: declared_names(document, "model"),
            services: declared_names(document, "service"),
            tiers: declared_names(document, "tier"),
        }
    }
}

fn declared_names(document: &IniDocument, kind: &str) -> Vec<Name> {
    let mut names: Vec<Name> =
        document.sections_of_kind(kind).map(|section| section.name.as_str().into()).collect();
    names.sort();
    names
}
