//! Counts the requests that a coordinator refused for load.

/// Requests that one coordinator refused for load since it started.
#[derive(Clone, Debug, Default)]
pub struct ShedCounts {
    by_rank: Vec<(u8, u32)>,
    inversions: u32,
}

impl ShedCounts {
    /// Counts one refused request of a tier, and whether a lower tier waited.
    pub fn count(&mut self, rank: u8, lower_waits: bool) {
        self.inversions += u32::from(lower_waits);
        match self.by_rank.binary_search_by_key(&rank, |(rank, _)| *rank) {
            Ok(index) => self.by_rank[index].1 += 1,
            Err(index) => self.by_rank.insert(index, (rank, 1)),
        }
    }

    /// Returns the number of refused requests by tier rank, sorted.
    pub fn by_rank(&self) -> &[(u8, u32)] {
        &self.by_rank
    }

    /// Returns the number of requests that were refused while a lower tier waited.
    pub fn inversions(&self) -> u32 {
        self.inversions
    }
}
