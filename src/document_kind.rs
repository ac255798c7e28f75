//! The kinds of documents, and how the kind of a text is guessed.

use std::cmp::Ordering;
use std::str::FromStr;

use crate::finding_list::FindingList;
use crate::ini_document::{IniDocument, IniSection};
use crate::parse_inventory::INVENTORY_SCHEMAS;
use crate::parse_settings::SETTINGS_SCHEMAS;
use crate::section_schema::SectionSchema;

/// Kind of a document.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DocumentKind {
    /// An inventory with its rules for requests.
    Inventory,
    /// Settings of an instance.
    Settings,
}

impl DocumentKind {
    /// Guesses the kind of `text` by counting the sections that each kind may have; returns
    /// `None` if the counts are equal.
    pub fn guess(text: &str) -> Option<Self> {
        let document = IniDocument::parse_any_size(text, &mut FindingList::new(""));
        let inventory = count_matching_sections(&document, INVENTORY_SCHEMAS);
        let settings = count_matching_sections(&document, SETTINGS_SCHEMAS);
        match inventory.cmp(&settings) {
            Ordering::Equal => None,
            Ordering::Greater => Some(Self::Inventory),
            Ordering::Less => Some(Self::Settings),
        }
    }
}

impl FromStr for DocumentKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "inventory" => Ok(Self::Inventory),
            "settings" => Ok(Self::Settings),
            _ => Err(format!("the kind is inventory or settings, not '{text}'")),
        }
    }
}

fn count_matching_sections(document: &IniDocument, schemas: &[SectionSchema]) -> usize {
    document.sections.iter().filter(|section| matches_any_schema(section, schemas)).count()
}

fn matches_any_schema(section: &IniSection, schemas: &[SectionSchema]) -> bool {
    schemas
        .iter()
        .any(|schema| schema.kind == section.kind && schema.named != section.name.is_empty())
}
