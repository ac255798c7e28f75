//! Limits how often a line is written that a crowd of callers may cause.

/// Time between two lines of one kind, in milliseconds.
const LINE_INTERVAL_MS: u64 = 200;

/// The lines of several kinds, by the name of the kind.
#[derive(Clone, Debug, Default)]
pub struct LogLimit {
    /// Sorted by kind.
    kinds: Vec<(&'static str, WrittenLines)>,
}

#[derive(Clone, Copy, Debug)]
struct WrittenLines {
    left_out: u64,
    next_ms: u64,
}

impl LogLimit {
    /// Returns how many lines of a kind were left out before this one; `None` if this one is left
    /// out too.
    pub fn begin_line(&mut self, now_ms: u64, kind: &'static str) -> Option<u64> {
        let index = self.kinds.partition_point(|(known, _)| *known < kind);
        if self.kinds.get(index).is_none_or(|(known, _)| *known != kind) {
            self.kinds.insert(index, (kind, WrittenLines { left_out: 0, next_ms: 0 }));
        }
        let lines = &mut self.kinds[index].1;
        if now_ms < lines.next_ms {
            lines.left_out += 1;
            return None;
        }
        lines.next_ms = now_ms + LINE_INTERVAL_MS;
        Some(std::mem::take(&mut lines.left_out))
    }
}
