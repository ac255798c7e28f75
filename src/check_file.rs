//! Implements `bergamotspan check`, which checks a document before it is published or deployed.

use std::fs;

use crate::check_change::check_change;
use crate::command_output::CommandOutput;
use crate::document_kind::DocumentKind;
use crate::error::Error;
use crate::exit_status::ExitStatus;
use crate::finding::Finding;
use crate::inventory::Inventory;
use crate::parse_inventory::parse_inventory;
use crate::parse_settings::parse_settings;

/// Checks `file` as a document of `kind`, which is guessed from its sections if absent.
///
/// An inventory is also checked as the successor of the inventory `against`, if that is given.
pub fn check_file(file: &str, against: Option<&str>, kind: Option<DocumentKind>) -> CommandOutput {
    check(file, against, kind).unwrap_or_else(CommandOutput::from)
}

fn check(
    file: &str,
    against: Option<&str>,
    kind: Option<DocumentKind>,
) -> Result<CommandOutput, Error> {
    let text = read_file(file)?;
    match (kind.or_else(|| DocumentKind::guess(&text)), against) {
        (Some(DocumentKind::Inventory), Some(old)) => check_successor(file, &text, old),
        (Some(DocumentKind::Inventory), None) => {
            parse_inventory(file, &text).map(|inventory| valid_inventory_output(file, &inventory))
        }
        (Some(DocumentKind::Settings), Some(_)) => {
            Ok(CommandOutput::usage("'--against' is for an inventory, not for settings."))
        }
        (Some(DocumentKind::Settings), None) => parse_settings(file, &text).map(|settings| {
            let name = settings.instance.name;
            CommandOutput::new(ExitStatus::Success, format!("{file}: settings of '{name}', fine."))
        }),
        (None, _) => Ok(CommandOutput::usage(format!(
            "{file} looks neither like an inventory nor like settings; specify the kind with \
             '--kind'."
        ))),
    }
}

fn check_successor(file: &str, text: &str, old: &str) -> Result<CommandOutput, Error> {
    let old_text = read_file(old)?;
    let parsed = (parse_inventory(old, &old_text), parse_inventory(file, text));
    match parsed {
        (Ok(before), Ok(after)) => {
            let findings = check_change(&before, &after, file);
            if findings.is_empty() {
                return Ok(valid_inventory_output(file, &after));
            }
            Err(Error::Findings(findings))
        }
        (before, after) => {
            let mut findings = findings_of(after)?;
            findings.extend(findings_of(before)?);
            Err(Error::Findings(findings))
        }
    }
}

fn findings_of(parsed: Result<Inventory, Error>) -> Result<Vec<Finding>, Error> {
    match parsed {
        Ok(_) => Ok(Vec::new()),
        Err(Error::Findings(findings)) => Ok(findings),
        Err(error) => Err(error),
    }
}

fn valid_inventory_output(file: &str, inventory: &Inventory) -> CommandOutput {
    let text = format!("{file}: inventory version {}, fine.", inventory.version);
    CommandOutput::new(ExitStatus::Success, text)
}

fn read_file(file: &str) -> Result<String, Error> {
    fs::read_to_string(file).map_err(|error| Error::io(format!("Reading {file} failed"), error))
}
