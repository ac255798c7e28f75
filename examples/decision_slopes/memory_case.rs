//! Memory of one thing, measured in a process of its own, in which nothing was freed before.

use std::process::Command;
use std::str::FromStr;

use crate::cost::resident_bytes_of;
use crate::{coordinators, documents, keys};

/// A thing whose memory is measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemoryCase {
    /// An inventory, by its engines.
    Inventory,
    /// The memory of a home, by its keys.
    Keys,
    /// A coordinator, by its running requests.
    Running,
    /// A coordinator, by its waiting requests.
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
            .ok_or_else(|| format!("nothing is called {text}"))
    }
}

impl MemoryCase {
    /// Measures it in a new process, in bytes.
    ///
    /// # Panics
    ///
    /// Panics if the process does not start or prints no number.
    pub fn measure(self, count: u64) -> f64 {
        let name =
            NAMES.iter().find(|(_, memory_case)| *memory_case == self).map_or("", |(name, _)| name);
        let executable = std::env::current_exe().expect("own path");
        let mut command = Command::new(executable);
        command.args(["--held", name, "--count", &count.to_string()]);
        let output = command.output().expect("process starts");
        String::from_utf8_lossy(&output.stdout).trim().parse().expect("process prints a number")
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
