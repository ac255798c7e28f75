//! Assigns instances to cells, keys to home instances, and services to coordinators.
//!
//! The instances of one cell share key homes and heartbeats. Up to [`MAX_CELL_INSTANCES`]
//! instances are one cell. A longer list is split into cells by data centre and hash. Homes and
//! coordinators are chosen by highest random weight (rendezvous hashing: Thaler and Ravishankar,
//! "Using name-based mappings to increase hit rates", IEEE/ACM Transactions on Networking, 1998),
//! so that a change of one member moves only that member's share.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::inventory::Inventory;
use crate::name::Name;

/// Maximum number of instances in one cell.
pub const MAX_CELL_INSTANCES: usize = 9;

/// The published instances, seen from one of them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct View {
    cells: Vec<Vec<Name>>,
    contains_self: bool,
    own_cell: usize,
    list_version: u64,
    own_name: Name,
}

impl View {
    /// Builds the view of an inventory for the instance of this name.
    pub fn from_inventory(inventory: &Inventory, own_name: Name) -> Self {
        let cells = split_into_cells(inventory);
        let listed_cell = cells.iter().position(|cell| cell.binary_search(&own_name).is_ok());
        let contains_self = listed_cell.is_some();
        let own_cell = listed_cell.or_else(|| cell_index(&own_name, cells.len())).unwrap_or(0);
        let list_version = inventory.instances_version;
        Self { cells, contains_self, own_cell, list_version, own_name }
    }

    /// Returns the members of the cell that a key belongs to, sorted.
    pub fn cell_of_key(&self, key: &str) -> &[Name] {
        let index = cell_index(key, self.cells.len());
        index.map_or(&[], |index| self.cells[index].as_slice())
    }

    /// Returns all cells, each sorted.
    pub fn cells(&self) -> &[Vec<Name>] {
        &self.cells
    }

    /// Returns whether this instance is in the published list.
    pub fn contains_self(&self) -> bool {
        self.contains_self
    }

    /// Returns the home of a key; this instance if the list is empty.
    pub fn home(&self, key: &str) -> Name {
        highest_weight(key, self.cell_of_key(key).iter()).unwrap_or(&self.own_name).clone()
    }

    /// Returns the version of the published list.
    pub fn list_version(&self) -> u64 {
        self.list_version
    }

    /// Returns the members of this instance's cell, or of the cell that its name hashes to if this
    /// instance is not in the list, sorted.
    pub fn members(&self) -> &[Name] {
        self.cells.get(self.own_cell).map_or(&[], Vec::as_slice)
    }

    /// Returns the index of this instance's cell, or of the cell that its name hashes to if this
    /// instance is not in the list.
    pub fn own_cell(&self) -> usize {
        self.own_cell
    }

    /// Returns this instance's name.
    pub fn own_name(&self) -> &Name {
        &self.own_name
    }

    /// Returns the coordinator of a service: the live instance with the highest weight.
    pub fn coordinator(&self, service: &str, live: &[Name]) -> Option<Name> {
        highest_weight(service, live.iter()).cloned()
    }

    /// Returns the home of a key when an instance is excluded; none if there is no other.
    pub fn successor(&self, key: &str, excluded: &Name) -> Option<Name> {
        highest_weight(key, self.cell_of_key(key).iter().filter(|name| *name != excluded)).cloned()
    }
}

fn cell_index(key: &str, cell_count: usize) -> Option<usize> {
    (0..cell_count).max_by_key(|index| cell_weight(key, *index))
}

fn cell_weight(key: &str, index: usize) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), xxh3_64(&(index as u64).to_le_bytes()))
}

fn split_into_cells(inventory: &Inventory) -> Vec<Vec<Name>> {
    if inventory.instances.len() <= MAX_CELL_INSTANCES {
        return vec![sorted(inventory.instances.iter().map(|instance| instance.name.clone()))];
    }
    let data_centres = sorted(inventory.instances.iter().map(|item| item.data_centre.clone()));
    data_centres.iter().flat_map(|data_centre| split_data_centre(inventory, data_centre)).collect()
}

fn split_data_centre(inventory: &Inventory, data_centre: &Name) -> Vec<Vec<Name>> {
    let here = inventory.instances.iter().filter(|item| item.data_centre == *data_centre);
    let mut names: Vec<Name> = here.map(|instance| instance.name.clone()).collect();
    names.sort_by_key(|name| (xxh3_64(name.as_bytes()), name.clone()));
    let cell_count = names.len().div_ceil(MAX_CELL_INSTANCES);
    let cell_size = names.len().div_ceil(cell_count);
    names.chunks(cell_size).map(|cell| sorted(cell.iter().cloned())).collect()
}

/// Returns the home of a key among the members of one cell.
pub(crate) fn home_among<'a>(key: &str, members: &'a [Name]) -> Option<&'a Name> {
    highest_weight(key, members.iter())
}

/// Returns the home of a key among the members of one cell when an instance is excluded.
pub(crate) fn successor_among<'a>(
    key: &str,
    members: &'a [Name],
    excluded: &Name,
) -> Option<&'a Name> {
    highest_weight(key, members.iter().filter(|name| *name != excluded))
}

fn highest_weight<'a, I>(key: &str, names: I) -> Option<&'a Name>
where
    I: Iterator<Item = &'a Name>,
{
    names.max_by_key(|name| (weight(key, name), *name))
}

fn sorted<I>(names: I) -> Vec<Name>
where
    I: Iterator<Item = Name>,
{
    let mut names: Vec<Name> = names.collect();
    names.sort();
    names.dedup();
    names
}

fn weight(key: &str, name: &str) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), xxh3_64(name.as_bytes()))
}
