//! Collects the findings of one document, so that all of them are reported together.

use crate::error::Error;
use crate::finding::Finding;
use crate::name::Name;

/// Maximum number of findings that are kept; further ones are left out.
const MAX_FINDINGS: usize = 1_000;

/// The findings of one document so far.
#[derive(Clone, Debug)]
pub struct FindingList {
    file: Name,
    findings: Vec<Finding>,
}

impl FindingList {
    /// Creates an empty list for the document `file`.
    pub fn new(file: &str) -> Self {
        Self { file: file.into(), findings: Vec::new() }
    }

    /// Adds a finding on `line`; line 0 stands for the document as a whole.
    ///
    /// A full list gets one last finding, which says that the rest is left out.
    pub fn add<S>(&mut self, line: u32, message: S)
    where
        S: Into<String>,
    {
        match self.findings.len() {
            0..MAX_FINDINGS => self.push(line, message.into()),
            MAX_FINDINGS => self.push(0, format!("{MAX_FINDINGS} findings; the rest is left out.")),
            _ => {}
        }
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    ///
    /// Returns all findings, sorted by line, if there are any.
    pub fn finish<T>(self, value: Option<T>) -> Result<T, Error> {
        match value {
            Some(value) if self.findings.is_empty() => Ok(value),
            _ => Err(Error::Findings(self.into_sorted())),
        }
    }

    /// Returns whether further findings are left out.
    pub fn is_full(&self) -> bool {
        self.findings.len() > MAX_FINDINGS
    }

    /// Returns all findings, sorted by line.
    pub fn into_sorted(mut self) -> Vec<Finding> {
        self.findings.sort();
        self.findings
    }

    fn push(&mut self, line: u32, message: String) {
        self.findings.push(Finding { file: self.file.clone(), line, message });
    }
}
