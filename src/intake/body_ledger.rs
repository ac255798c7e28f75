//! Decides which request bodies may hold memory.

/// Size up to which a body counts as small, in bytes.
pub const SMALL_BODY_BYTES: usize = 16_384;
/// Part of the budget that only small bodies may take.
const SMALL_BODIES_SHARE: usize = 8;
/// Time without progress after which a body may be evicted for another one, in milliseconds.
const STALL_MS: u64 = 500;
/// Part of what a body holds that must arrive to count as progress.
const PROGRESS_SHARE: usize = 16;
/// Least number of bytes that counts as progress.
const LEAST_PROGRESS_BYTES: usize = 4_096;

/// Identifies a body.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct BodyId(u64);

/// Next step of a body that needs more memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GrowStep {
    /// The other body must give up its memory; ask again.
    Evict(BodyId),
    /// The memory is taken.
    Granted,
    /// There is no memory for it.
    Refused,
    /// Evicted bodies are about to free enough; ask again then.
    Wait,
}

/// State of a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BodyStage {
    /// Bytes are still expected.
    Arriving,
    /// It arrived and is held until its request ends.
    Complete,
    /// It is about to free its memory.
    Evicted,
}

#[derive(Clone, Debug)]
struct HeldBody {
    arrived_bytes: usize,
    held_bytes: usize,
    id: BodyId,
    /// Bytes that had arrived when progress was last counted.
    progress_bytes: usize,
    progress_ms: u64,
    stage: BodyStage,
}

impl HeldBody {
    fn stalled_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.progress_ms)
    }

    /// Returns what evicting it is worth: the memory that it holds times how long it has not moved.
    fn cost(&self, now_ms: u64) -> u128 {
        self.held_bytes as u128 * u128::from(self.stalled_ms(now_ms))
    }
}

/// The memory that request bodies hold, from their first byte until their request ends.
#[derive(Clone, Debug)]
pub struct BodyLedger {
    /// Sorted by id, and so by arrival.
    bodies: Vec<HeldBody>,
    budget_bytes: usize,
    next_id: u64,
}

impl BodyLedger {
    /// Creates a ledger of a budget in bytes.
    pub fn new(budget_bytes: usize) -> Self {
        Self { bodies: Vec::new(), budget_bytes, next_id: 0 }
    }

    /// Adds a body that holds nothing yet.
    pub fn begin(&mut self, now_ms: u64) -> BodyId {
        let id = BodyId(self.next_id);
        self.next_id += 1;
        self.bodies.push(HeldBody {
            arrived_bytes: 0,
            held_bytes: 0,
            id,
            progress_bytes: 0,
            progress_ms: now_ms,
            stage: BodyStage::Arriving,
        });
        id
    }

    /// Decides whether a body may hold `capacity_bytes`.
    ///
    /// When the budget is used up, the body that has held most for longest without progress is
    /// evicted; where all make progress, the youngest one gives way. A body that is alone may exceed
    /// the budget, so that each permitted size can be served.
    pub fn grow(&mut self, now_ms: u64, id: BodyId, capacity_bytes: usize) -> GrowStep {
        let Some(body) = self.find(id) else { return GrowStep::Refused };
        if body.stage == BodyStage::Evicted {
            return GrowStep::Refused;
        }
        let others_bytes = self.held_bytes() - body.held_bytes;
        let limit_bytes = self.limit_bytes(capacity_bytes);
        if others_bytes == 0 || others_bytes + capacity_bytes <= limit_bytes {
            self.set_held(id, capacity_bytes);
            return GrowStep::Granted;
        }
        if others_bytes - self.evicted_bytes() + capacity_bytes <= limit_bytes {
            return GrowStep::Wait;
        }
        match self.victim(now_ms, id) {
            Some(victim) => {
                self.set_stage(victim, BodyStage::Evicted);
                GrowStep::Evict(victim)
            }
            None if self.evicted_bytes() > 0 => GrowStep::Wait,
            None => GrowStep::Refused,
        }
    }

    /// Records that bytes of a body have arrived.
    pub fn record_bytes(&mut self, now_ms: u64, id: BodyId, bytes: usize) {
        let Some(body) = self.find_mut(id) else { return };
        body.arrived_bytes += bytes;
        let step_bytes = (body.held_bytes / PROGRESS_SHARE).max(LEAST_PROGRESS_BYTES);
        if body.arrived_bytes - body.progress_bytes >= step_bytes {
            body.progress_bytes = body.arrived_bytes;
            body.progress_ms = now_ms;
        }
    }

    /// Records that a body has arrived; returns whether it had not been evicted before.
    pub fn complete(&mut self, id: BodyId) -> bool {
        let is_arriving = self.find(id).is_some_and(|body| body.stage == BodyStage::Arriving);
        if is_arriving {
            self.set_stage(id, BodyStage::Complete);
        }
        is_arriving
    }

    /// Frees the memory of a body.
    pub fn end(&mut self, id: BodyId) {
        if let Ok(index) = self.index(id) {
            self.bodies.remove(index);
        }
    }

    /// Returns the memory that all bodies hold, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.bodies.iter().map(|body| body.held_bytes).sum()
    }

    fn evicted_bytes(&self) -> usize {
        let evicted = self.bodies.iter().filter(|body| body.stage == BodyStage::Evicted);
        evicted.map(|body| body.held_bytes).sum()
    }

    fn find(&self, id: BodyId) -> Option<&HeldBody> {
        self.index(id).ok().map(|index| &self.bodies[index])
    }

    fn find_mut(&mut self, id: BodyId) -> Option<&mut HeldBody> {
        self.index(id).ok().map(|index| &mut self.bodies[index])
    }

    fn index(&self, id: BodyId) -> Result<usize, usize> {
        self.bodies.binary_search_by_key(&id, |body| body.id)
    }

    fn limit_bytes(&self, capacity_bytes: usize) -> usize {
        match capacity_bytes <= SMALL_BODY_BYTES {
            true => self.budget_bytes,
            false => self.budget_bytes - self.budget_bytes / SMALL_BODIES_SHARE,
        }
    }

    fn set_held(&mut self, id: BodyId, bytes: usize) {
        if let Some(body) = self.find_mut(id) {
            body.held_bytes = bytes;
        }
    }

    fn set_stage(&mut self, id: BodyId, stage: BodyStage) {
        if let Some(body) = self.find_mut(id) {
            body.stage = stage;
        }
    }

    /// Returns the body that gives way to another one, if one does.
    fn victim(&self, now_ms: u64, asking: BodyId) -> Option<BodyId> {
        let arriving = || {
            let bodies = self.bodies.iter().filter(|body| body.id != asking);
            bodies.filter(|body| body.stage == BodyStage::Arriving && body.held_bytes > 0)
        };
        let stalled = arriving().filter(|body| body.stalled_ms(now_ms) >= STALL_MS);
        let costliest = stalled.max_by_key(|body| body.cost(now_ms)).map(|body| body.id);
        let youngest = || arriving().map(|body| body.id).max().filter(|id| *id > asking);
        costliest.or_else(youngest)
    }
}
