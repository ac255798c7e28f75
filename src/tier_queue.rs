//! The waiting requests of one tier: fair shares between customers, earliest deadline within one.
//!
//! Shares are by deficit round robin after Shreedhar and Varghese, "Efficient fair queuing using
//! deficit round robin", 1996; rounds in which no customer could be served are skipped at once.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use crate::name::Name;
use crate::waiting_queue::{Turn, Waiting};

/// Tokens that a customer of weight 1 gains in each round.
const QUANTUM_TOKENS: u64 = 256;

/// The waiting requests of one tier.
#[derive(Clone, Debug)]
pub struct TierQueue {
    /// Rank of the tier.
    pub rank: u8,
    /// Tokens that wait.
    pub tokens: u64,
    by_latest_start: BTreeSet<Start>,
    customers: Vec<CustomerQueue>,
    round_index: usize,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Start {
    latest_start_ms: u64,
    turn: Turn,
    customer: Name,
}

#[derive(Clone, Debug)]
struct CustomerQueue {
    deficit_tokens: u64,
    name: Name,
    /// The last request that the decision under way has passed over.
    passed: Option<Turn>,
    waiting: BTreeMap<Turn, Waiting>,
    weight: u64,
}

impl TierQueue {
    /// Starts empty.
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
    pub fn insert(&mut self, turn: Turn, waiting: Waiting, weight: u32) {
        let customer = waiting.bid.customer.clone();
        let latest_start_ms = waiting.latest_start_ms;
        self.tokens += waiting.cost_tokens;
        self.by_latest_start.insert(Start { latest_start_ms, turn, customer: customer.clone() });
        let index = self.customer_index(customer);
        let queue = &mut self.customers[index];
        queue.weight = u64::from(weight.max(1));
        queue.waiting.insert(turn, waiting);
    }

    /// Takes a request out.
    pub fn remove(&mut self, customer: &Name, turn: Turn, latest_start_ms: u64) -> Option<Waiting> {
        let start = Start { latest_start_ms, turn, customer: customer.clone() };
        self.by_latest_start.remove(&start);
        let index = self.find(customer).ok()?;
        let waiting = self.customers[index].waiting.remove(&turn)?;
        self.tokens -= waiting.cost_tokens;
        if self.customers[index].waiting.is_empty() {
            self.remove_customer(index);
        }
        Some(waiting)
    }

    /// Finds a request.
    pub fn get(&self, customer: &Name, turn: Turn) -> Option<&Waiting> {
        let index = self.find(customer).ok()?;
        self.customers[index].waiting.get(&turn)
    }

    /// Lets a customer's share pay for one of its requests.
    pub fn charge(&mut self, customer: &Name, turn: Turn) {
        let Ok(index) = self.find(customer) else { return };
        let queue = &mut self.customers[index];
        let Some(waiting) = queue.waiting.get(&turn) else { return };
        queue.deficit_tokens = queue.deficit_tokens.saturating_sub(waiting.cost_tokens);
    }

    /// Returns the request whose turn it is, but for those passed over.
    pub fn next_turn(&mut self) -> Option<(Turn, &Waiting)> {
        if let Some((index, turn)) = self.affordable() {
            return self.at(index, turn);
        }
        self.skip_rounds()?;
        let (index, turn) = self.affordable()?;
        self.at(index, turn)
    }

    /// Passes a request over that had its turn, until [`TierQueue::rewind`].
    pub fn pass_over(&mut self, turn: Turn) {
        let queue = self.customers.iter_mut().find(|queue| queue.waiting.contains_key(&turn));
        if let Some(queue) = queue {
            queue.passed = Some(turn);
        }
    }

    /// Begins another decision: nothing is passed over.
    pub fn rewind(&mut self) {
        for queue in &mut self.customers {
            queue.passed = None;
        }
    }

    /// Returns the request that can least make its deadline.
    pub fn least_hopeful(&self) -> Option<&Waiting> {
        let start = self.by_latest_start.first()?;
        let index = self.find(&start.customer).ok()?;
        self.customers[index].waiting.get(&start.turn)
    }

    /// Returns a request whose deadline has passed.
    pub fn expired(&self, now_ms: u64) -> Option<&crate::request_id::RequestId> {
        let heads = self.customers.iter().filter_map(|queue| queue.waiting.values().next());
        heads.filter(|waiting| waiting.deadline_ms <= now_ms).map(|w| &w.bid.request).next()
    }

    /// Returns all requests.
    pub fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.customers.iter().flat_map(|queue| queue.waiting.values())
    }

    /// Returns the number of customers whose requests wait.
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

    fn affordable(&mut self) -> Option<(usize, Turn)> {
        let count = self.customers.len();
        for step in 0..count {
            let index = (self.round_index + step) % count;
            let queue = &self.customers[index];
            let head = queue.head().filter(|(_, cost)| *cost <= queue.deficit_tokens);
            if let Some((turn, _)) = head {
                self.round_index = index;
                return Some((index, turn));
            }
        }
        None
    }

    fn at(&self, index: usize, turn: Turn) -> Option<(Turn, &Waiting)> {
        self.customers[index].waiting.get(&turn).map(|waiting| (turn, waiting))
    }

    fn customer_index(&mut self, name: Name) -> usize {
        match self.find(&name) {
            Ok(index) => index,
            Err(index) => {
                let waiting = BTreeMap::new();
                let queue =
                    CustomerQueue { deficit_tokens: 0, name, passed: None, waiting, weight: 1 };
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

    fn skip_rounds(&mut self) -> Option<()> {
        let rounds = self.customers.iter().filter_map(|queue| queue.rounds()).min()?;
        for queue in &mut self.customers {
            if queue.head().is_some() {
                queue.deficit_tokens += rounds * QUANTUM_TOKENS * queue.weight;
            }
        }
        Some(())
    }
}

impl CustomerQueue {
    fn head(&self) -> Option<(Turn, u64)> {
        let start = self.passed.map_or(Bound::Unbounded, Bound::Excluded);
        let (turn, waiting) = self.waiting.range((start, Bound::Unbounded)).next()?;
        Some((*turn, waiting.cost_tokens))
    }

    fn rounds(&self) -> Option<u64> {
        let (_, cost_tokens) = self.head()?;
        let missing_tokens = cost_tokens.saturating_sub(self.deficit_tokens);
        Some(missing_tokens.div_ceil(QUANTUM_TOKENS * self.weight))
    }
}
