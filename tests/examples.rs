//! Tests that the example documents have no findings and contain the expected numbers of entries.

use std::fs;

use bergamotspan::inventory::Inventory;
use bergamotspan::parse_inventory::parse_inventory;
use bergamotspan::parse_settings::parse_settings;
use bergamotspan::rules::{RuleQuery, apply_rules};

fn read_example(name: &str) -> Inventory {
    let file = format!("{}/examples/{name}", env!("CARGO_MANIFEST_DIR"));
    parse_inventory(&file, &fs::read_to_string(&file).unwrap()).unwrap()
}

fn servers_of(inventory: &Inventory, service: &str) -> usize {
    inventory.backend_servers.iter().filter(|server| &*server.service == service).count()
}

#[test]
fn norrland_has_the_expected_counts() {
    let norrland = read_example("norrland.ini");

    assert_eq!(norrland.instances.len(), 7);
    assert_eq!(norrland.data_centres.len(), 3);
    assert_eq!(norrland.customers.len(), 5);
    assert_eq!(servers_of(&norrland, "plan-model"), 10);
    assert_eq!(servers_of(&norrland, "order-desk"), 3);
}

#[test]
fn loopback_has_the_expected_counts() {
    let loopback = read_example("loopback.ini");

    assert_eq!(loopback.instances.len(), 3);
    assert_eq!(servers_of(&loopback, "plan-model"), 2);
    assert_eq!(servers_of(&loopback, "order-desk"), 1);
}

#[test]
fn sierra_norte_has_the_expected_counts() {
    let sierra_norte = read_example("sierra-norte.ini");

    assert_eq!(sierra_norte.instances.len(), 7);
    assert_eq!(sierra_norte.data_centres.len(), 3);
    assert_eq!(sierra_norte.customers.len(), 5);
    assert_eq!(servers_of(&sierra_norte, "taller-voz"), 10);
    assert_eq!(servers_of(&sierra_norte, "mesa-app"), 3);
}

#[test]
fn bookings_are_not_idempotent_and_status_lookups_are() {
    let norrland = read_example("norrland.ini");
    let idempotent = |path| {
        let query = RuleQuery {
            customer: "home-care-umea",
            path,
            requested_tier: None,
            service: "order-desk",
        };
        apply_rules(&norrland, &query).unwrap().idempotent
    };

    assert!(!idempotent("bookings/17"));
    assert!(idempotent("status/17"));
}

#[test]
fn payments_are_not_idempotent() {
    let sierra_norte = read_example("sierra-norte.ini");
    let query = RuleQuery {
        customer: "club-quito",
        path: "payments",
        requested_tier: None,
        service: "mesa-app",
    };

    assert!(!apply_rules(&sierra_norte, &query).unwrap().idempotent);
}

#[test]
fn the_settings_of_entry_1_match_its_inventory() {
    let file = format!("{}/examples/entry-1-settings.ini", env!("CARGO_MANIFEST_DIR"));
    let settings = parse_settings(&file, &fs::read_to_string(&file).unwrap()).unwrap();

    let norrland = read_example("norrland.ini");
    let instance = norrland.instance(&settings.instance.name).unwrap();

    assert_eq!(instance.data_centre, settings.instance.data_centre);
    assert_eq!(instance.caller_address, settings.caller.listen_address);
    assert_eq!(instance.peer_address, settings.peer.listen_address);
}
