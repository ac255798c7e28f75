//! Selects the part of the inventory that one cell of instances schedules.
//!
//! Each cell has its own coordinator for every service, so each backend server belongs to one cell:
//! those of a data centre are assigned to its cells in the order of their hashes. A service with
//! too few backend servers for that is shared, and each cell gets an equal part of their limits.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::inventory::{BackendServer, Inventory, Service};
use crate::name::Name;
use crate::view::View;

/// How the backend servers of one service are divided among the cells.
enum Division {
    /// Each belongs to the cell of this index; in the order of the service's backend servers.
    Assigned(Vec<usize>),
    /// All belong to all cells.
    Shared,
}

/// Returns the inventory with only the backend servers that the cell of `view` schedules.
pub fn cell_inventory(inventory: &Arc<Inventory>, view: &View) -> Arc<Inventory> {
    let cell_count = view.cells().len();
    if cell_count <= 1 {
        return inventory.clone();
    }
    let mut own = Inventory::clone(inventory);
    own.backend_servers = inventory
        .services
        .iter()
        .flat_map(|service| servers_of_cell(inventory, view, service))
        .collect();
    own.backend_servers.sort_by(|left, right| left.name.cmp(&right.name));
    Arc::new(own)
}

fn servers_of_cell(inventory: &Inventory, view: &View, service: &Service) -> Vec<BackendServer> {
    let servers: Vec<&BackendServer> =
        inventory.backend_servers.iter().filter(|server| server.service == service.name).collect();
    let cell_count = view.cells().len();
    match divide(inventory, view, &servers) {
        Division::Assigned(owners) => servers
            .into_iter()
            .zip(owners)
            .filter(|(_, owner)| *owner == view.own_cell())
            .map(|(server, _)| server.clone())
            .collect(),
        Division::Shared => servers
            .into_iter()
            .map(|server| share(server, u32::try_from(cell_count).unwrap_or(u32::MAX)))
            .collect(),
    }
}

fn divide(inventory: &Inventory, view: &View, servers: &[&BackendServer]) -> Division {
    let cell_count = view.cells().len();
    let mut assigned = vec![0; cell_count];
    let mut owners = vec![0; servers.len()];
    let mut order: Vec<usize> = (0..servers.len()).collect();
    order.sort_by_key(|index| xxh3_64(servers[*index].name.as_bytes()));
    for index in order {
        let cells = cells_near(inventory, view, &servers[index].data_centre);
        let Some(owner) = cells.into_iter().min_by_key(|cell| (assigned[*cell], *cell)) else {
            return Division::Shared;
        };
        assigned[owner] += 1;
        owners[index] = owner;
    }
    match assigned.contains(&0) {
        true => Division::Shared,
        false => Division::Assigned(owners),
    }
}

/// Returns the indices of the cells in a data centre, or of all cells if there are none.
fn cells_near(inventory: &Inventory, view: &View, data_centre: &Name) -> Vec<usize> {
    let is_near = |cell: &[Name]| {
        let first = cell.first().and_then(|name| inventory.instance(name));
        first.is_some_and(|instance| instance.data_centre == *data_centre)
    };
    let cells = view.cells();
    let near: Vec<usize> = (0..cells.len()).filter(|index| is_near(&cells[*index])).collect();
    match near.is_empty() {
        true => (0..cells.len()).collect(),
        false => near,
    }
}

fn share(server: &BackendServer, cell_count: u32) -> BackendServer {
    let token_limit_tokens = (server.token_limit_tokens / cell_count).max(1);
    BackendServer { token_limit_tokens, ..server.clone() }
}
