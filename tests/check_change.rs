//! Tests of the checks of an inventory that is to be published after another.

use bergamotspan::check_change::check_change;
use bergamotspan::inventory::{Instance, Inventory};

const FILE: &str = "new.ini";

/// Builds inventories of which only versions and instances matter.
struct InventoryBuilder {
    inventory: Inventory,
}

impl InventoryBuilder {
    fn new(version: u64, instances_version: u64) -> Self {
        Self { inventory: Inventory { instances_version, version, ..Inventory::default() } }
    }

    fn instances(mut self, names: &[&str]) -> Self {
        self.inventory.instances =
            names.iter().zip(1..).map(|(name, n)| instance(name, n)).collect();
        self
    }

    fn build(self) -> Inventory {
        self.inventory
    }
}

fn instance(name: &str, number: u8) -> Instance {
    Instance {
        caller_address: ([10, 0, 0, number], 8080).into(),
        data_centre: "umea-a".into(),
        name: name.into(),
        peer_address: ([10, 0, 0, number], 8081).into(),
    }
}

fn three_instances(version: u64, instances_version: u64) -> Inventory {
    InventoryBuilder::new(version, instances_version).instances(&["a", "b", "c"]).build()
}

fn messages(old: &Inventory, new: &Inventory) -> Vec<String> {
    check_change(old, new, FILE).iter().map(ToString::to_string).collect()
}

#[test]
fn a_higher_version_with_the_same_instances_is_fine() {
    assert_eq!(messages(&three_instances(1, 1), &three_instances(2, 1)), [""; 0]);
}

#[test]
fn a_new_instance_with_both_versions_raised_is_fine() {
    let new = InventoryBuilder::new(2, 2).instances(&["a", "b", "c", "d"]).build();

    assert_eq!(messages(&three_instances(1, 1), &new), [""; 0]);
}

#[test]
fn the_same_version_is_found() {
    let expected = ["new.ini:0: 'version' must rise above 5, but it is 5."];

    assert_eq!(messages(&three_instances(5, 1), &three_instances(5, 1)), expected);
}

#[test]
fn a_lower_version_is_found() {
    let expected = ["new.ini:0: 'version' must rise above 5, but it is 4."];

    assert_eq!(messages(&three_instances(5, 1), &three_instances(4, 1)), expected);
}

#[test]
fn a_lower_instances_version_is_found() {
    let expected = ["new.ini:0: 'instances_version' falls from 3 to 2."];

    assert_eq!(messages(&three_instances(1, 3), &three_instances(2, 2)), expected);
}

#[test]
fn changed_instances_under_one_instances_version_are_found() {
    let new = InventoryBuilder::new(2, 1).instances(&["a", "b", "c", "d"]).build();
    let expected = ["new.ini:0: 'instances_version' must rise above 1: instances changed."];

    assert_eq!(messages(&three_instances(1, 1), &new), expected);
}

#[test]
fn a_moved_instance_under_one_instances_version_is_found() {
    let mut new = three_instances(2, 1);
    new.instances[0].peer_address.set_port(9999);
    let expected = ["new.ini:0: 'instances_version' must rise above 1: instances changed."];

    assert_eq!(messages(&three_instances(1, 1), &new), expected);
}

#[test]
fn an_instances_version_that_skips_one_is_found() {
    let new = InventoryBuilder::new(2, 3).instances(&["a", "b", "c", "d"]).build();
    let expected = [
        "new.ini:0: 'instances_version' must rise from 1 to 2, not to 3: requests with a key would \
         wait a key lifetime for a version that no instance knows.",
    ];

    assert_eq!(messages(&three_instances(1, 1), &new), expected);
}

#[test]
fn a_needless_instances_version_is_found() {
    let expected =
        ["new.ini:0: 'instances_version' rises from 1 to 2, but the instances are the same."];

    assert_eq!(messages(&three_instances(1, 1), &three_instances(2, 2)), expected);
}

#[test]
fn two_of_three_that_stay_are_fine() {
    let new = InventoryBuilder::new(2, 2).instances(&["a", "b", "d"]).build();

    assert_eq!(messages(&three_instances(1, 1), &new), [""; 0]);
}

#[test]
fn a_majority_that_leaves_at_once_is_found() {
    let new = InventoryBuilder::new(2, 2).instances(&["a", "d", "e"]).build();
    let expected = ["new.ini:0: Only 1 of 3 instances stay; requests with a key would wait until \
                     more than half of the old ones are seen on the new version."];

    assert_eq!(messages(&three_instances(1, 1), &new), expected);
}

#[test]
fn several_findings_are_reported_together() {
    let new = InventoryBuilder::new(1, 1).instances(&["a", "b"]).build();
    let expected = [
        "new.ini:0: 'instances_version' falls from 2 to 1.",
        "new.ini:0: 'version' must rise above 1, but it is 1.",
    ];

    assert_eq!(messages(&three_instances(1, 2), &new), expected);
}
