//! Tests of the assignment of backend servers to cells of instances.
//!
//! If two cells scheduled one server, each up to its whole limit, they would overload it.

use std::collections::BTreeMap;
use std::sync::Arc;

use bergamotspan::cell_inventory::cell_inventory;
use bergamotspan::inventory::{BackendServer, Instance, Inventory, Service, ServiceKind};
use bergamotspan::name::Name;
use bergamotspan::view::View;

const TOKEN_LIMIT_TOKENS: u32 = 12_000;

fn arrange(instances: usize, engines: usize) -> Arc<Inventory> {
    let data_centre = |index: usize| -> Name { format!("dc-{}", index % 3).into() };
    let mut inventory = Inventory { instances_version: 1, version: 1, ..Inventory::default() };
    for index in 0..instances {
        inventory.instances.push(Instance {
            caller_address: ([127, 0, 0, 1], 1).into(),
            data_centre: data_centre(index),
            name: format!("entry-{index:03}").into(),
            peer_address: ([127, 0, 0, 1], 2).into(),
        });
    }
    for index in 0..engines {
        inventory.backend_servers.push(BackendServer {
            address: ([127, 0, 0, 1], 3).into(),
            data_centre: data_centre(index),
            fencing: false,
            leaving: false,
            name: format!("engine-{index:03}").into(),
            prefill_tokens_per_s: 1_000,
            service: "drafts".into(),
            token_limit_tokens: TOKEN_LIMIT_TOKENS,
        });
    }
    let kind = ServiceKind::Model("m".into());
    inventory.services.push(Service { idempotent: true, kind, name: "drafts".into() });
    Arc::new(inventory)
}

/// Returns, for each backend server, its token limits in the cells that schedule it.
fn limits(inventory: &Arc<Inventory>) -> BTreeMap<Name, Vec<u32>> {
    let mut limits: BTreeMap<Name, Vec<u32>> = BTreeMap::new();
    let mut seen = Vec::new();
    for instance in &inventory.instances {
        let view = View::from_inventory(inventory, instance.name.clone());
        if seen.contains(&view.own_cell()) {
            continue;
        }
        seen.push(view.own_cell());
        for server in &cell_inventory(inventory, &view).backend_servers {
            limits.entry(server.name.clone()).or_default().push(server.token_limit_tokens);
        }
    }
    limits
}

#[test]
fn a_fleet_of_one_cell_schedules_the_whole_inventory() {
    let inventory = arrange(7, 10);
    let view = View::from_inventory(&inventory, "entry-000".into());

    assert!(Arc::ptr_eq(&cell_inventory(&inventory, &view), &inventory));
}

#[test]
fn each_backend_server_belongs_to_one_cell_near_it() {
    let inventory = arrange(60, 120);

    let limits = limits(&inventory);

    assert_eq!(limits.len(), 120);
    assert!(limits.values().all(|limits| *limits == [TOKEN_LIMIT_TOKENS]), "{limits:?}");
    let view = View::from_inventory(&inventory, "entry-000".into());
    let own = cell_inventory(&inventory, &view);
    let far = own.backend_servers.iter().find(|server| &*server.data_centre != "dc-0");
    assert_eq!(far, None);
}

#[test]
fn a_service_with_few_backend_servers_is_shared_by_all_cells() {
    let inventory = arrange(12, 2);

    let limits = limits(&inventory);

    assert_eq!(limits.len(), 2);
    let shares = vec![TOKEN_LIMIT_TOKENS / 3; 3];
    assert!(limits.values().all(|limits| *limits == shares), "{limits:?}");
}
