//! One thing that is wrong with a document, and its place.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// One thing that is wrong with a document.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Finding {
    /// File or published document that it was found in.
    pub file: Name,
    /// Line in that document, counted from 1; 0 if the document as a whole is meant.
    pub line: u32,
    /// What is wrong, as a short sentence.
    pub message: String,
}

impl Display for Finding {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: {}", self.file, self.line, self.message)
    }
}
