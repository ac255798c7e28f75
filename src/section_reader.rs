//! Reads the keys of one section as typed values and collects findings.

use crate::finding_list::FindingList;
use crate::ini_document::IniSection;
use crate::name::Name;

/// Reads the keys of one section.
///
/// A method that adds a finding returns `None`, so that the remaining keys are still read.
#[derive(Debug)]
pub struct SectionReader<'a> {
    findings: &'a mut FindingList,
    section: &'a IniSection,
}

impl<'a> SectionReader<'a> {
    /// Creates a reader of `section`.
    pub fn new(section: &'a IniSection, findings: &'a mut FindingList) -> Self {
        Self { findings, section }
    }

    /// Adds a finding on the line of `key`, or of the header if the key is absent.
    pub fn add_finding<S>(&mut self, key: &str, message: S)
    where
        S: Into<String>,
    {
        self.findings.add(self.section.line_of(key), message);
    }

    /// Returns the name in the header.
    pub fn name(&self) -> Name {
        self.section.name.as_str().into()
    }

    /// Reads a key that may be absent.
    pub fn optional<T, P>(&mut self, key: &str, parse: P) -> Option<Option<T>>
    where
        P: Fn(&str, &str) -> Result<T, String>,
    {
        let Some(found) = self.section.key(key) else {
            return Some(None);
        };
        if found.value.is_empty() {
            self.findings.add(found.line, format!("'{key}' has no value."));
            return None;
        }
        match parse(key, &found.value) {
            Ok(value) => Some(Some(value)),
            Err(message) => {
                self.findings.add(found.line, message);
                None
            }
        }
    }

    /// Reads a key that has a default.
    pub fn or_default<T, P>(&mut self, key: &str, default: T, parse: P) -> Option<T>
    where
        P: Fn(&str, &str) -> Result<T, String>,
    {
        self.optional(key, parse).map(|value| value.unwrap_or(default))
    }

    /// Reads a key; an absent one is a finding.
    pub fn required<T, P>(&mut self, key: &str, parse: P) -> Option<T>
    where
        P: Fn(&str, &str) -> Result<T, String>,
    {
        let value = self.optional(key, parse)?;
        if value.is_none() {
            let header = self.section.header();
            self.findings.add(self.section.line, format!("Key '{key}' is missing in '{header}'."));
        }
        value
    }
}
