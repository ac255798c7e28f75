//! What the head of a request decides before its body is read.

use crate::gateway::admission::{Arrival, Refusal, RequestPlan};
use crate::gateway::fleet::coordinators::Decider;
use crate::gateway::state::GatewayState;

impl GatewayState {
    /// Checks what the head of a request decides alone, and returns its deadline.
    ///
    /// # Errors
    ///
    /// Returns the refusal if its body need not be read.
    pub fn check_head(&mut self, now_ms: u64, arrival: &Arrival<'_>) -> Result<u64, Refusal> {
        let mut plan = self.plan_request(now_ms, arrival, 0)?;
        if self.charges(now_ms, &plan) {
            self.charge(now_ms, &mut plan)?;
            self.refund(&plan);
        }
        Ok(plan.deadline_ms)
    }

    /// Returns whether this instance charges a request when it admits it.
    pub(crate) fn charges(&self, now_ms: u64, plan: &RequestPlan) -> bool {
        let cell = self.backends.coordinating_cell(&plan.service);
        match self.fleet.decider_of(now_ms, cell) {
            Decider::None => self.fleet.knows_usage(now_ms),
            Decider::Other(_) => false,
            Decider::Own => true,
        }
    }
}
