//! The prompt parts on which answers have begun lately.

/// Number of parts that are kept at least; twice as many before the oldest are removed.
const KEPT_PARTS: usize = 4_096;

/// Prompt parts with the time at which an answer last began on them, sorted by part.
#[derive(Clone, Debug, Default)]
pub struct RecentParts {
    parts: Vec<(u64, u64)>,
}

impl RecentParts {
    /// Records that an answer began on a part, in milliseconds of the boot clock.
    pub fn record(&mut self, part: u64, now_ms: u64) {
        match self.find(part) {
            Ok(index) => self.parts[index].1 = self.parts[index].1.max(now_ms),
            Err(index) => {
                self.parts.insert(index, (part, now_ms));
                self.remove_oldest();
            }
        }
    }

    /// Returns when an answer last began on a part, in milliseconds of the boot clock.
    pub fn last_ms(&self, part: u64) -> Option<u64> {
        self.find(part).ok().map(|index| self.parts[index].1)
    }

    fn remove_oldest(&mut self) {
        if self.parts.len() < 2 * KEPT_PARTS {
            return;
        }
        let mut times_ms: Vec<u64> = self.parts.iter().map(|(_, last_ms)| *last_ms).collect();
        let (_, cutoff_ms, _) = times_ms.select_nth_unstable(KEPT_PARTS);
        let cutoff_ms = *cutoff_ms;
        self.parts.retain(|(_, last_ms)| *last_ms > cutoff_ms);
    }

    fn find(&self, part: u64) -> Result<usize, usize> {
        self.parts.binary_search_by_key(&part, |(known, _)| *known)
    }
}
