//! Tests of cells, key homes and coordinators in a view.

use bergamotspan::inventory::{Instance, Inventory};
use bergamotspan::name::Name;
use bergamotspan::view::{MAX_CELL_INSTANCES, View};
use proptest::prelude::*;

struct Fleet {
    inventory: Inventory,
}

impl Fleet {
    fn with_instances(count: usize, data_centres: &[&str]) -> Self {
        let instances = (0..count).map(|number| Instance {
            caller_address: "127.0.0.1:1".parse().unwrap(),
            data_centre: data_centres[number % data_centres.len()].into(),
            name: name(number),
            peer_address: "127.0.0.1:2".parse().unwrap(),
        });
        let instances = instances.collect();
        Self { inventory: Inventory { instances, instances_version: 4, ..Default::default() } }
    }

    fn without(mut self, gone: &Name) -> Self {
        self.inventory.instances.retain(|instance| instance.name != *gone);
        self
    }

    fn view(&self, own_name: &str) -> View {
        View::from_inventory(&self.inventory, own_name.into())
    }
}

fn name(number: usize) -> Name {
    format!("entry-{number:04}").into()
}

fn keys() -> impl Iterator<Item = String> {
    (0..200).map(|number| format!("key-{number}"))
}

#[test]
fn seven_instances_are_one_cell() {
    let fleet = Fleet::with_instances(7, &["umea-a", "umea-b", "lulea-c"]);

    let view = fleet.view("entry-0003");

    let everyone: Vec<Name> = (0..7).map(name).collect();
    assert_eq!(view.members(), everyone);
    assert_eq!(view.list_version(), 4);
    assert!(view.contains_self());
}

#[test]
fn an_instance_that_is_not_in_the_list_sees_the_others() {
    let fleet = Fleet::with_instances(7, &["umea-a"]);

    let view = fleet.view("entry-0099");

    assert!(!view.contains_self());
    assert_eq!(view.members(), (0..7).map(name).collect::<Vec<Name>>());
}

#[test]
fn all_instances_agree_on_the_home() {
    let fleet = Fleet::with_instances(40, &["umea-a", "umea-b", "lulea-c"]);
    let views: Vec<View> = (0..40).map(|number| fleet.view(&name(number))).collect();

    for key in keys() {
        let home = views[0].home(&key);
        assert!(views.iter().all(|view| view.home(&key) == home));
        assert!(views[0].cell_of_key(&key).contains(&home));
    }
}

#[test]
fn every_instance_is_home_of_some_keys() {
    let fleet = Fleet::with_instances(7, &["umea-a"]);
    let view = fleet.view("entry-0000");

    let mut homes: Vec<Name> = keys().map(|key| view.home(&key)).collect();
    homes.sort();
    homes.dedup();

    assert_eq!(homes.len(), 7);
}

#[test]
fn the_successor_is_the_home_once_the_instance_is_gone() {
    let gone = name(3);
    let view = Fleet::with_instances(7, &["umea-a"]).view("entry-0000");
    let later = Fleet::with_instances(7, &["umea-a"]).without(&gone).view("entry-0000");

    for key in keys() {
        assert_eq!(view.successor(&key, &gone), Some(later.home(&key)));
        assert!(view.home(&key) == gone || view.home(&key) == later.home(&key));
    }
}

#[test]
fn a_lone_instance_has_no_successor() {
    let view = Fleet::with_instances(1, &["umea-a"]).view("entry-0000");

    assert_eq!(view.home("key"), name(0));
    assert_eq!(view.successor("key", &name(0)), None);
}

#[test]
fn the_coordinator_is_one_of_the_live() {
    let view = Fleet::with_instances(7, &["umea-a"]).view("entry-0000");
    let live = [name(2), name(5)];

    let coordinator = view.coordinator("plan-model", &live);

    assert!(live.contains(&coordinator.unwrap()));
    assert_eq!(view.coordinator("plan-model", &[]), None);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn cells_hold_each_instance_once(count in 1_usize..200, own in 0_usize..200) {
        let fleet = Fleet::with_instances(count, &["umea-a", "umea-b", "lulea-c"]);
        let own = own % count;

        let mut found = Vec::new();
        for number in 0..count {
            let view = fleet.view(&name(number));
            prop_assert!(view.members().len() <= MAX_CELL_INSTANCES);
            prop_assert!(view.members().is_sorted());
            prop_assert!(view.members().contains(&name(number)));
            if view.members()[0] == name(number) {
                found.extend_from_slice(view.members());
            }
        }

        found.sort();
        prop_assert_eq!(found, (0..count).map(name).collect::<Vec<Name>>());
        prop_assert!(fleet.view(&name(own)).contains_self());
    }
}
