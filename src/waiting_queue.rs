//! The waiting requests of one service, by tier, customer and deadline.

use std::cell::Cell;
use std::collections::BTreeMap;

use crate::name::Name;
use crate::request_id::RequestId;
use crate::scheduling::GrantRequest;
use crate::tier_queue::TierQueue;

/// One waiting request.
#[derive(Clone, Debug)]
pub struct WaitingRequest {
    /// The grant request.
    pub grant_request: GrantRequest,
    /// Its cost against the limit, in tokens.
    pub cost_tokens: u64,
    /// Monotonic time of its deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Latest time at which it can start to finish in time, by estimate, in milliseconds.
    pub latest_start_ms: u64,
    /// Estimated tokens of the answer.
    pub output_tokens: u32,
}

/// Order of a waiting request within its customer: earliest deadline, then earliest arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueuePosition {
    /// Monotonic time of its deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Number of the request in order of arrival at the queue.
    pub order: u64,
}

#[derive(Clone, Debug)]
struct QueueEntry {
    customer: Name,
    latest_start_ms: u64,
    tier_rank: u8,
    position: QueuePosition,
}

/// The waiting requests of one service.
#[derive(Clone, Debug, Default)]
pub struct WaitingQueue {
    /// Entries examined so far, to measure the cost of decisions.
    examined: Cell<u64>,
    last_order: u64,
    entries_by_request: BTreeMap<RequestId, QueueEntry>,
    tiers: Vec<TierQueue>,
}

impl WaitingQueue {
    /// Adds a request; one with the same identity is replaced.
    pub fn insert(&mut self, waiting: WaitingRequest, weight: u32) {
        self.remove(&waiting.grant_request.request);
        self.add_examined(1);
        self.last_order += 1;
        let position = QueuePosition { deadline_ms: waiting.deadline_ms, order: self.last_order };
        let entry = QueueEntry {
            customer: waiting.grant_request.customer.clone(),
            latest_start_ms: waiting.latest_start_ms,
            tier_rank: waiting.grant_request.tier_rank,
            position,
        };
        self.entries_by_request.insert(waiting.grant_request.request.clone(), entry);
        let index = self.tier_index(waiting.grant_request.tier_rank);
        self.tiers[index].insert(position, waiting, weight);
    }

    /// Removes a request and returns it.
    pub fn remove(&mut self, request: &RequestId) -> Option<WaitingRequest> {
        self.add_examined(1);
        let entry = self.entries_by_request.remove(request)?;
        let index = self.find_tier(entry.tier_rank).ok()?;
        let waiting =
            self.tiers[index].remove(&entry.customer, entry.position, entry.latest_start_ms);
        if self.tiers[index].is_empty() {
            self.tiers.remove(index);
        }
        waiting
    }

    /// Removes a granted request, charges its cost to its customer's share, and returns it.
    pub fn grant(&mut self, request: &RequestId) -> Option<WaitingRequest> {
        let entry = self.entries_by_request.get(request)?;
        let index = self.find_tier(entry.tier_rank).ok()?;
        self.tiers[index].charge(&entry.customer, entry.position);
        self.remove(request)
    }

    /// Returns a request.
    pub fn get(&self, request: &RequestId) -> Option<&WaitingRequest> {
        self.add_examined(1);
        let entry = self.entries_by_request.get(request)?;
        let index = self.find_tier(entry.tier_rank).ok()?;
        self.tiers[index].get(&entry.customer, entry.position)
    }

    /// Returns whether a request waits.
    pub fn contains(&self, request: &RequestId) -> bool {
        self.entries_by_request.contains_key(request)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries_by_request.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries_by_request.is_empty()
    }

    /// Returns the rank of the lowest tier with a waiting request.
    pub fn lowest_rank(&self) -> Option<u8> {
        self.tiers.last().map(|tier| tier.rank)
    }

    /// Returns the ranks of the tiers with waiting requests, highest tier first.
    pub fn ranks(&self) -> Vec<u8> {
        self.tiers.iter().map(|tier| tier.rank).collect()
    }

    /// Returns the number of waiting requests by tier rank.
    pub fn counts(&self) -> Vec<(u8, u32)> {
        self.tiers.iter().map(|tier| (tier.rank, tier.len() as u32)).collect()
    }

    /// Returns the cost of the waiting requests in tiers above a rank, in tokens.
    pub fn tokens_above(&self, rank: u8) -> u64 {
        self.tiers.iter().filter(|tier| tier.rank < rank).map(|tier| tier.tokens).sum()
    }

    /// Returns the next request of a tier in order that was not skipped.
    pub fn next_in_order(&mut self, rank: u8) -> Option<(QueuePosition, &WaitingRequest)> {
        let index = self.find_tier(rank).ok()?;
        // The head of each customer's queue is examined at most four times.
        self.add_examined(4 * self.tiers[index].customer_count());
        self.tiers[index].next_in_order()
    }

    /// Skips a request that was next in order, until [`WaitingQueue::clear_skipped`].
    pub fn skip(&mut self, rank: u8, position: QueuePosition) {
        if let Ok(index) = self.find_tier(rank) {
            self.add_examined(self.tiers[index].customer_count());
            self.tiers[index].skip(position);
        }
    }

    /// Clears the skipped requests of a tier, for another decision.
    pub fn clear_skipped(&mut self, rank: u8) {
        if let Ok(index) = self.find_tier(rank) {
            self.tiers[index].clear_skipped();
        }
    }

    /// Returns the request of the lowest tier with the least slack to its deadline.
    pub fn least_slack(&self) -> Option<&WaitingRequest> {
        self.add_examined(1);
        self.tiers.last()?.least_slack()
    }

    /// Returns a request whose deadline has passed, if any.
    pub fn expired(&self, now_ms: u64) -> Option<RequestId> {
        self.add_examined(self.tiers.iter().map(TierQueue::customer_count).sum());
        self.tiers.iter().find_map(|tier| tier.expired(now_ms)).cloned()
    }

    /// Removes the requests of one instance.
    pub fn remove_instance(&mut self, instance: &Name) {
        self.add_examined(self.len());
        let requests: Vec<RequestId> = self
            .entries_by_request
            .keys()
            .filter(|request| request.instance == *instance)
            .cloned()
            .collect();
        for request in requests {
            self.remove(&request);
        }
    }

    /// Removes the requests that match a condition, and returns them.
    pub fn remove_where<P>(&mut self, condition: P) -> Vec<WaitingRequest>
    where
        P: Fn(&GrantRequest) -> bool,
    {
        self.add_examined(self.len());
        let requests: Vec<RequestId> = self
            .tiers
            .iter()
            .flat_map(TierQueue::iter)
            .filter(|waiting| condition(&waiting.grant_request))
            .map(|waiting| waiting.grant_request.request.clone())
            .collect();
        requests.iter().filter_map(|request| self.remove(request)).collect()
    }

    /// Returns the number of entries examined so far.
    pub fn examined(&self) -> u64 {
        self.examined.get()
    }

    fn add_examined(&self, entries: usize) {
        self.examined.set(self.examined.get() + entries as u64);
    }

    fn find_tier(&self, rank: u8) -> Result<usize, usize> {
        self.tiers.binary_search_by_key(&rank, |tier| tier.rank)
    }

    fn tier_index(&mut self, rank: u8) -> usize {
        match self.find_tier(rank) {
            Ok(index) => index,
            Err(index) => {
                self.tiers.insert(index, TierQueue::new(rank));
                index
            }
        }
    }
}
