//! Counts how many sharers have at least so many requests waiting, without looking at all of them.

/// Longest queue of one sharer that is told from longer ones.
const LEVELS: usize = 1_024;

/// A Fenwick tree over queue lengths.
#[derive(Clone, Debug)]
pub struct LevelCounts {
    sums: Vec<u32>,
}

impl Default for LevelCounts {
    fn default() -> Self {
        Self { sums: vec![0; LEVELS + 1] }
    }
}

impl LevelCounts {
    /// Records that the queue of a sharer grew to `length`.
    pub fn grow(&mut self, length: usize) {
        self.change(length, |sum| sum.saturating_add(1));
    }

    /// Records that the queue of a sharer was `length` long and shrank.
    pub fn shrink(&mut self, length: usize) {
        self.change(length, |sum| sum.saturating_sub(1));
    }

    /// Returns how many requests wait if of each sharer only the first `level` ones count.
    pub fn first_ones(&self, level: usize) -> usize {
        let mut index = level.min(LEVELS);
        let mut sum = 0;
        while index > 0 {
            sum += self.sums[index] as usize;
            index &= index - 1;
        }
        sum
    }

    fn change<F>(&mut self, length: usize, apply: F)
    where
        F: Fn(u32) -> u32,
    {
        let mut index = length.clamp(1, LEVELS);
        while index <= LEVELS {
            self.sums[index] = apply(self.sums[index]);
            index += index & index.wrapping_neg();
        }
    }
}
