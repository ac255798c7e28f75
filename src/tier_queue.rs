//! The waiting requests of one tier: fair shares between customers, earliest deadline first within
//! a customer.
//!
//! Shares follow deficit round robin after Shreedhar and Varghese, "Efficient fair queuing using
//! deficit round robin", 1996; rounds in which no customer could be served are skipped at once.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use crate::name::Name;
use crate::waiting_queue::{QueuePosition, WaitingRequest};

/// Tokens that a customer of weight 1 gains in each round.
const QUANTUM_TOKENS: u64 = 256;

/// The waiting requests of one tier.
#[derive(Clone, Debug)]
pub struct TierQueue {
    /// Rank of the tier.
    pub rank: u8,
    /// Cost of the waiting requests, in tokens.
    pub tokens: u64,
    by_latest_start: BTreeSet<LatestStart>,
    customers: Vec<CustomerQueue>,
    round_index: usize,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct LatestStart {
    latest_start_ms: u64,
    position: QueuePosition,
    customer: Name,
}

#[derive(Clone, Debug)]
struct CustomerQueue {
    deficit_tokens: u64,
    name: Name,
    /// The last request that the current decision has skipped.
    last_skipped: Option<QueuePosition>,
    waiting: BTreeMap<QueuePosition, WaitingRequest>,
    weight: u64,
}

impl TierQueue {
    /// Returns an empty queue.
    pub fn new(rank: u8) -> Self {
        Self {
            by_latest_start: BTreeSet::new(),
            customers: Vec::new(),
            rank,
            round_index: 0,
            tokens: 0,
        }
    }

    /// Adds a request.
    pub fn insert(&mut self, position: QueuePosition, waiting: WaitingRequest, weight: u32) {
        let customer = waiting.grant_request.customer.clone();
        let latest_start_ms = waiting.latest_start_ms;
        self.tokens += waiting.cost_tokens;
        self.by_latest_start.insert(LatestStart {
            latest_start_ms,
            position,
            customer: customer.clone(),
        });
        let index = self.customer_index(customer);
        let queue = &mut self.customers[index];
        queue.weight = u64::from(weight.max(1));
        queue.waiting.insert(position, waiting);
    }

    /// Removes a request and returns it.
    pub fn remove(
        &mut self,
        customer: &Name,
        position: QueuePosition,
        latest_start_ms: u64,
    ) -> Option<WaitingRequest> {
        let start = LatestStart { latest_start_ms, position, customer: customer.clone() };
        self.by_latest_start.remove(&start);
        let index = self.find(customer).ok()?;
        let waiting = self.customers[index].waiting.remove(&position)?;
        self.tokens -= waiting.cost_tokens;
        if self.customers[index].waiting.is_empty() {
            self.remove_customer(index);
        }
        Some(waiting)
    }

    /// Returns a request.
    pub fn get(&self, customer: &Name, position: QueuePosition) -> Option<&WaitingRequest> {
        let index = self.find(customer).ok()?;
        self.customers[index].waiting.get(&position)
    }

    /// Subtracts the cost of a request from its customer's deficit.
    pub fn charge(&mut self, customer: &Name, position: QueuePosition) {
        let Ok(index) = self.find(customer) else { return };
        let queue = &mut self.customers[index];
        let Some(waiting) = queue.waiting.get(&position) else { return };
        queue.deficit_tokens = queue.deficit_tokens.saturating_sub(waiting.cost_tokens);
    }

    /// Returns the next request in order that was not skipped.
    pub fn next_in_order(&mut self) -> Option<(QueuePosition, &WaitingRequest)> {
        if let Some((index, position)) = self.next_affordable() {
            return self.entry_at(index, position);
        }
        self.advance_rounds()?;
        let (index, position) = self.next_affordable()?;
        self.entry_at(index, position)
    }

    /// Skips a request that was next in order, until [`TierQueue::clear_skipped`].
    pub fn skip(&mut self, position: QueuePosition) {
        let queue = self.customers.iter_mut().find(|queue| queue.waiting.contains_key(&position));
        if let Some(queue) = queue {
            queue.last_skipped = Some(position);
        }
    }

    /// Clears the skipped requests, for another decision.
    pub fn clear_skipped(&mut self) {
        for queue in &mut self.customers {
            queue.last_skipped = None;
        }
    }

    /// Returns the request with the least slack to its deadline.
    pub fn least_slack(&self) -> Option<&WaitingRequest> {
        let start = self.by_latest_start.first()?;
        let index = self.find(&start.customer).ok()?;
        self.customers[index].waiting.get(&start.position)
    }

    /// Returns a request whose deadline has passed, if any.
    pub fn expired(&self, now_ms: u64) -> Option<&crate::request_id::RequestId> {
        let heads = self.customers.iter().filter_map(|queue| queue.waiting.values().next());
        heads
            .filter(|waiting| waiting.deadline_ms <= now_ms)
            .map(|w| &w.grant_request.request)
            .next()
    }

    /// Returns all requests.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.customers.iter().flat_map(|queue| queue.waiting.values())
    }

    /// Returns the number of customers with waiting requests.
    pub fn customer_count(&self) -> usize {
        self.customers.len()
    }

    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.by_latest_start.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.by_latest_start.is_empty()
    }

    fn next_affordable(&mut self) -> Option<(usize, QueuePosition)> {
        let count = self.customers.len();
        for step in 0..count {
            let index = (self.round_index + step) % count;
            let queue = &self.customers[index];
            let head = queue.head().filter(|(_, cost)| *cost <= queue.deficit_tokens);
            if let Some((position, _)) = head {
                self.round_index = index;
                return Some((index, position));
            }
        }
        None
    }

    fn entry_at(
        &self,
        index: usize,
        position: QueuePosition,
    ) -> Option<(QueuePosition, &WaitingRequest)> {
        self.customers[index].waiting.get(&position).map(|waiting| (position, waiting))
    }

    fn customer_index(&mut self, name: Name) -> usize {
        match self.find(&name) {
            Ok(index) => index,
            Err(index) => {
                let waiting = BTreeMap::new();
                let queue = CustomerQueue {
                    deficit_tokens: 0,
                    name,
                    last_skipped: None,
                    waiting,
                    weight: 1,
                };
                self.customers.insert(index, queue);
                self.round_index += usize::from(index < self.round_index);
                index
            }
        }
    }

    fn find(&self, customer: &Name) -> Result<usize, usize> {
        self.customers.binary_search_by(|queue| queue.name.cmp(customer))
    }

    fn remove_customer(&mut self, index: usize) {
        self.customers.remove(index);
        self.round_index -= usize::from(index < self.round_index);
    }

    fn advance_rounds(&mut self) -> Option<()> {
        let rounds_to_afford =
            self.customers.iter().filter_map(|queue| queue.rounds_to_afford()).min()?;
        for queue in &mut self.customers {
            if queue.head().is_some() {
                queue.deficit_tokens += rounds_to_afford * QUANTUM_TOKENS * queue.weight;
            }
        }
        Some(())
    }
}

impl CustomerQueue {
    fn head(&self) -> Option<(QueuePosition, u64)> {
        let start = self.last_skipped.map_or(Bound::Unbounded, Bound::Excluded);
        let (position, waiting) = self.waiting.range((start, Bound::Unbounded)).next()?;
        Some((*position, waiting.cost_tokens))
    }

    fn rounds_to_afford(&self) -> Option<u64> {
        let (_, cost_tokens) = self.head()?;
        let missing_tokens = cost_tokens.saturating_sub(self.deficit_tokens);
        Some(missing_tokens.div_ceil(QUANTUM_TOKENS * self.weight))
    }
}
