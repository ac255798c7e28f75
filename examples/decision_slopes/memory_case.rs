//! Memory of one data structure, measured in a new process.
//!
//! Memory that was freed before would be reused, and the growth would be too small.

use std::process::Command;
use std::str::FromStr;

use crate::cost::resident_bytes_of;
use crate::{coordinators, documents, keys};

/// A data structure whose memory is measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemoryCase {
    /// An inventory, by its number of backend servers.
    Inventory,
    /// A key home, by its number of keys.
    Keys,
    /// A coordinator, by its number of running requests.
    Running,
    /// A coordinator, by its number of waiting requests.
    Waiting,
}

const NAMES: [(&str, MemoryCase); 4] = [
    ("inventory", MemoryCase::Inventory),
    ("keys", MemoryCase::Keys),
    ("running", MemoryCase::Running),
    ("waiting", MemoryCase::Waiting),
];

impl FromStr for MemoryCase {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let entry = NAMES.iter().find(|(name, _)| *name == text);
        entry
            .map(|(_, memory_case)| *memory_case)
            .ok_or_else(|| format!("unknown data structure {text}"))
    }
}

impl MemoryCase {
    /// Measures its memory in a new process, in bytes.
    ///
    /// # Panics
    ///
    /// Panics if the process does not start or prints no number.
    pub fn measure(self, count: u64) -> f64 {
        let name =
            NAMES.iter().find(|(_, memory_case)| *memory_case == self).map_or("", |(name, _)| name);
        let executable = std::env::current_exe().expect("the path of the executable is known");
        let mut command = Command::new(executable);
        command.args(["--held", name, "--count", &count.to_string()]);
        let output = command.output().expect("the process starts");
        String::from_utf8_lossy(&output.stdout).trim().parse().expect("the process prints a number")
    }

    /// Builds it in this process and returns the growth of the resident memory, in bytes.
    pub fn resident_bytes(self, count: u64) -> f64 {
        match self {
            Self::Inventory => documents::resident_bytes(count),
            Self::Keys => resident_bytes_of(|| keys::filled_key_home(count)),
            Self::Running => {
                resident_bytes_of(|| coordinators::loaded_coordinator(count, u32::MAX / 4))
            }
            Self::Waiting => resident_bytes_of(|| coordinators::loaded_coordinator(count, 1)),
        }
    }
}
