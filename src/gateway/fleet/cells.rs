//! Assigns instances and backend servers to cells.
//!
//! Rendezvous hashing keeps assignments stable: an instance that joins or leaves moves no other, and
//! one cell more takes its share from each of the others and moves nothing else.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::name::Name;

/// Number of instances above which there is one more cell.
pub const MAX_CELL_INSTANCES: usize = 64;

/// The cells as one instance sees them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CellLayout {
    /// Index of the own cell, from 0.
    pub own: usize,
    /// Number of instances of each cell.
    pub sizes: Vec<usize>,
}

impl Default for CellLayout {
    fn default() -> Self {
        Self { own: 0, sizes: vec![1] }
    }
}

impl CellLayout {
    /// Returns the number of cells.
    pub fn count(&self) -> usize {
        self.sizes.len()
    }

    /// Returns the cell of each backend server, in the order of `ids`.
    ///
    /// Cells receive backend servers in proportion to their instances; each goes to the cell with
    /// the highest hash for it that is below its share.
    pub fn assign(&self, ids: &[Name]) -> Vec<usize> {
        let total: usize = self.sizes.iter().sum::<usize>().max(1);
        let limit = |size: &usize| (ids.len() * size).div_ceil(total);
        let mut free: Vec<usize> = self.sizes.iter().map(limit).collect();
        let mut order: Vec<usize> = (0..ids.len()).collect();
        order.sort_by_key(|index| xxh3_64(ids[*index].as_bytes()));
        let mut assigned = vec![0; ids.len()];
        for index in order {
            let open = (0..free.len()).filter(|cell| free[*cell] > 0);
            let cell = open.max_by_key(|cell| score(&ids[index], *cell)).unwrap_or_default();
            free[cell] = free[cell].saturating_sub(1);
            assigned[index] = cell;
        }
        assigned
    }
}

/// Returns the number of cells for a number of instances.
pub fn cell_count(instances: usize) -> usize {
    instances.div_ceil(MAX_CELL_INSTANCES).max(1)
}

/// Returns the cell with the highest hash for a name.
pub fn cell_of(name: &str, cells: usize) -> usize {
    (0..cells).max_by_key(|cell| score(name, *cell)).unwrap_or_default()
}

fn score(name: &str, cell: usize) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), cell as u64)
}
