//! A fault in a document, with its file and line.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// A fault in a document.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Finding {
    /// File or published document that has the fault.
    pub file: Name,
    /// Line in that document, counted from 1; 0 for the document as a whole.
    pub line: u32,
    /// Description of the fault, as a short sentence.
    pub message: String,
}

impl Display for Finding {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: {}", self.file, self.line, self.message)
    }
}
