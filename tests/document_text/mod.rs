//! Builds documents that differ from a good one in few places.

use std::fmt::Debug;

use bergamotspan::error::Error;

/// A document under construction.
pub struct DocumentText {
    text: String,
}

impl DocumentText {
    /// Starts from `text`.
    pub fn new(text: &str) -> Self {
        Self { text: text.into() }
    }

    /// Puts `new` in the place of `old`, which must be there once.
    pub fn replace(mut self, old: &str, new: &str) -> Self {
        assert_eq!(self.text.matches(old).count(), 1, "{old}");
        self.text = self.text.replace(old, new);
        self
    }

    /// Returns the text.
    pub fn build(self) -> String {
        self.text
    }
}

/// Returns the findings of a refused document, each as `LINE: MESSAGE`.
pub fn findings_of<T>(parsed: Result<T, Error>) -> Vec<String>
where
    T: Debug,
{
    match parsed.unwrap_err() {
        Error::Findings(findings) => findings
            .iter()
            .map(|finding| {
                assert_eq!(&*finding.file, "test.ini");
                format!("{}: {}", finding.line, finding.message)
            })
            .collect(),
        error => panic!("{error}"),
    }
}
