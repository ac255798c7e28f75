//! Paths of the programs that a fleet runs.

use std::env;
use std::path::PathBuf;
use std::process::Command;

use super::error::FleetError;

/// Folder of the test programs, below that of the other programs.
const TESTS_FOLDER: &str = "deps";

/// Returns the path of a program that was built into the same folder as the running one.
///
/// # Errors
///
/// Returns an error if the program is absent.
pub fn binary(name: &str) -> Result<PathBuf, FleetError> {
    let own_path = env::current_exe().map_err(|error| FleetError::io("current_exe", error))?;
    let mut folder = own_path.parent().map(PathBuf::from).unwrap_or_default();
    if folder.ends_with(TESTS_FOLDER) {
        folder.pop();
    }
    let path = folder.join(name);
    if path.is_file() { Ok(path) } else { Err(FleetError::MissingProgram { path }) }
}

/// Creates the command that starts a stand-in by its subcommand.
///
/// # Errors
///
/// Returns an error if the program `standins` is absent.
pub fn standin(verb: &str) -> Result<Command, FleetError> {
    let mut command = Command::new(binary("standins")?);
    command.arg(verb);
    Ok(command)
}
