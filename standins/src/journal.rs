//! Journal of executions, which a stand-in reads again after a restart.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

use serde::{Deserialize, Serialize};

/// An execution of a request.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Execution {
    /// Idempotency key, if any.
    pub key: Option<String>,
    /// Request id, if any.
    pub request: Option<String>,
}

/// A file with one line of JSON per execution; without a file, nothing is recorded.
#[derive(Debug, Default)]
pub(crate) struct Journal {
    file: Option<File>,
}

impl Journal {
    /// Opens a journal and returns it with the executions recorded in it.
    pub(crate) fn open(path: Option<&Path>) -> io::Result<(Self, Vec<Execution>)> {
        let Some(path) = path else { return Ok((Self::default(), Vec::new())) };
        let file = File::options().append(true).create(true).open(path)?;
        let text = fs::read_to_string(path)?;
        // The last line may be cut short by a crash.
        let executions = text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
        Ok((Self { file: Some(file) }, executions))
    }

    /// Records an execution before it starts.
    ///
    /// # Panics
    ///
    /// Panics if the journal can't be written, since the counts would be wrong.
    pub(crate) fn record(&mut self, execution: &Execution) {
        let Some(file) = &mut self.file else { return };
        let mut line =
            serde_json::to_vec(execution).expect("an execution can be serialized as JSON");
        line.push(b'\n');
        file.write_all(&line).expect("the journal can be written");
    }
}
