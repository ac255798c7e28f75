//! Checks which sections a document may have, and which keys they may have.

use crate::finding_list::FindingList;
use crate::ini_document::{IniDocument, IniSection};
use crate::ini_value::{NAME_CHARACTERS, is_name_character};
use crate::nearest_name::hint;

/// Header and keys that one kind of section may have.
#[derive(Clone, Copy, Debug)]
pub struct SectionSchema {
    /// Keys that it may have.
    pub keys: &'static [&'static str],
    /// First word of its header.
    pub kind: &'static str,
    /// Whether its header has a name after the kind.
    pub named: bool,
}

/// Adds a finding for each section and key of `document` that `schemas` doesn't allow.
pub fn check_schema(document: &IniDocument, schemas: &[SectionSchema], findings: &mut FindingList) {
    for section in &document.sections {
        if findings.is_full() {
            return;
        }
        match schemas.iter().find(|schema| schema.kind == section.kind) {
            Some(schema) => check_section(section, schema, findings),
            None => {
                let suggestion = hint(&section.kind, schemas.iter().map(|schema| schema.kind));
                findings.add(
                    section.line,
                    format!("Unknown section '{}'{suggestion}", section.header()),
                );
            }
        }
    }
}

fn check_section(section: &IniSection, schema: &SectionSchema, findings: &mut FindingList) {
    check_header(section, schema, findings);
    for key in &section.keys {
        if schema.keys.contains(&key.name.as_str()) {
            continue;
        }
        let suggestion = hint(&key.name, schema.keys);
        let message = format!("Unknown key '{}' in '{}'{suggestion}", key.name, section.header());
        findings.add(key.line, message);
    }
}

fn check_header(section: &IniSection, schema: &SectionSchema, findings: &mut FindingList) {
    let kind = schema.kind;
    if schema.named && section.name.is_empty() {
        findings.add(section.line, format!("Section '[{kind}]' needs a name: '[{kind} NAME]'."));
    } else if !schema.named && !section.name.is_empty() {
        let message = format!("Section '{}' takes no name: '[{kind}]'.", section.header());
        findings.add(section.line, message);
    } else if !section.name.chars().all(is_name_character) {
        let message = format!("Name '{}' may contain only {NAME_CHARACTERS}.", section.name);
        findings.add(section.line, message);
    }
}
