//! Checks for operators whether one inventory may be published after another.

use crate::finding::Finding;
use crate::finding_list::FindingList;
use crate::inventory::{Instance, Inventory};

/// Returns the reasons against publishing `new`, read from `file`, after `old`.
///
/// Only operators run this check, before they publish. Instances adopt the highest version that
/// they receive without it: they may have missed versions in between, and all must decide alike.
pub fn check_change(old: &Inventory, new: &Inventory, file: &str) -> Vec<Finding> {
    let mut findings = FindingList::new(file);
    check_version(old, new, &mut findings);
    check_instances_version(old, new, &mut findings);
    check_majority(old, new, &mut findings);
    findings.into_sorted()
}

fn check_version(old: &Inventory, new: &Inventory, findings: &mut FindingList) {
    if new.version <= old.version {
        let message =
            format!("'version' must rise above {}, but it is {}.", old.version, new.version);
        findings.add(0, message);
    }
}

fn check_instances_version(old: &Inventory, new: &Inventory, findings: &mut FindingList) {
    let (before, after) = (old.instances_version, new.instances_version);
    let same_instances = old.instances == new.instances;
    if after < before {
        findings.add(0, format!("'instances_version' falls from {before} to {after}."));
    } else if after == before && !same_instances {
        let message = format!("'instances_version' must rise above {before}: instances changed.");
        findings.add(0, message);
    } else if after > before && same_instances {
        let message = format!(
            "'instances_version' rises from {before} to {after}, but the instances are the same."
        );
        findings.add(0, message);
    } else if after > before + 1 {
        let message = format!(
            "'instances_version' must rise from {before} to {}, not to {after}: requests with a \
             key would wait a key lifetime for a version that no instance knows.",
            before + 1
        );
        findings.add(0, message);
    }
}

fn check_majority(old: &Inventory, new: &Inventory, findings: &mut FindingList) {
    let is_kept = |instance: &&Instance| new.instance(&instance.name).is_some();
    let kept = old.instances.iter().filter(is_kept).count();
    if kept * 2 <= old.instances.len() && !old.instances.is_empty() {
        let message = format!(
            "Only {kept} of {} instances stay; requests with a key would wait until more than \
             half of the old ones are seen on the new version.",
            old.instances.len()
        );
        findings.add(0, message);
    }
}
