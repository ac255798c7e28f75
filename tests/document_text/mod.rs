//! Builds documents that differ from a valid one in a few places.

use std::fmt::Debug;

use bergamotspan::error::Error;

/// Text of a document under construction.
pub struct DocumentText {
    text: String,
}

impl DocumentText {
    /// Starts from `text`.
    pub fn new(text: &str) -> Self {
        Self { text: text.into() }
    }

    /// Replaces `old` by `new`.
    ///
    /// # Panics
    ///
    /// Panics if `old` doesn't occur exactly once.
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

/// Returns the findings of a rejected document, each as `LINE: MESSAGE`.
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
