//! Queue of the model requests of one service that wait for a slot, and the decision on the next.
//!
//! The load it answers: more requests than slots, and servers of which some are cold, so slow. Rank,
//! then the customers' turns decide, except that the place at a cold server goes to the next of the
//! same customer that loses least there, as long as others are warm.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::gateway::admission::Rank;
use crate::gateway::backends::{Backends, EngineChoice};
use crate::gateway::engine_query::EngineQuery;
use crate::gateway::request_metadata::PromptShape;
use crate::gateway::sharing::drain_rate::DrainRate;
use crate::gateway::sharing::rank_lane::{RankLane, SharerQueue, TurnKey};
use crate::gateway::sharing::room_use::RoomUse;
use crate::gateway::sharing::share_tally::ShareTally;
use crate::gateway::sharing::sharer::Sharer;
use crate::gateway::sharing::start_time::StartTime;
use crate::name::Name;

/// Number of waiting requests among which one is chosen for a cold server.
const COLD_CHOICES: usize = 8;
/// Time left to wait below which a request takes the place at a cold server, in milliseconds.
const LATE_MS: u64 = 200;

/// A waiting request.
#[derive(Clone, Debug)]
pub struct WaitingRequest {
    /// When it began to wait, in milliseconds of the boot clock.
    pub begun_ms: u64,
    /// Its requirements.
    pub query: EngineQuery,
    /// When it expires, in milliseconds of the boot clock.
    pub expires_ms: u64,
    /// Number of the request at this instance.
    pub number: u64,
    /// Rank; the lowest is served first.
    pub rank: Rank,
    /// Who sends it, as far as the room is shared.
    pub sharer: Sharer,
}

impl WaitingRequest {
    /// A large prompt takes longer to begin, so its turn within its customer's comes sooner.
    fn turn_key(&self) -> TurnKey {
        (self.expires_ms, self.number)
    }
}

/// Decision on a waiting request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QueueDecision {
    /// It is sent.
    Send {
        /// Number of the request.
        number: u64,
        /// Id of the backend server.
        backend_server: Name,
        /// Prompt and expected answer.
        prompt: Arc<PromptShape>,
    },
    /// It has waited too long, or its turn would come too late.
    Expire {
        /// Number of the request.
        number: u64,
    },
}

/// What a request would wait for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueStanding {
    /// Requests that get a place before it.
    pub ahead: usize,
    /// Time until its turn, in milliseconds.
    pub wait_ms: u64,
    /// All waiting requests.
    pub waiting: usize,
}

/// Waiting requests of one service: highest rank first, then the customer whose turn it is, then the
/// one that can wait the least.
#[derive(Clone, Debug, Default)]
pub struct RequestQueue {
    drain: DrainRate,
    expiries: BTreeSet<(u64, u64)>,
    has_grown: bool,
    lanes: Vec<(Rank, RankLane)>,
    room: RoomUse,
    start_time: StartTime,
    tally: ShareTally,
    waiting: BTreeMap<u64, WaitingRequest>,
}

impl RequestQueue {
    /// Adds a request.
    pub fn insert(&mut self, waiting: WaitingRequest) {
        let lane = self.lane_mut(waiting.rank);
        let is_limited = waiting.query.is_limited();
        lane.insert(waiting.begun_ms, &waiting.sharer, waiting.turn_key(), is_limited);
        self.expiries.insert((waiting.expires_ms, waiting.number));
        self.drain.set_contended(waiting.begun_ms, true);
        self.has_grown = true;
        self.waiting.insert(waiting.number, waiting);
    }

    /// Removes a request.
    pub fn remove(&mut self, number: u64) {
        self.take(number);
    }

    fn take(&mut self, number: u64) -> Option<WaitingRequest> {
        let waiting = self.waiting.remove(&number)?;
        self.expiries.remove(&(waiting.expires_ms, number));
        self.lane_mut(waiting.rank).remove(&waiting.sharer, waiting.turn_key());
        Some(waiting)
    }

    /// Removes all requests and returns their numbers.
    pub fn take_numbers(&mut self) -> Vec<u64> {
        let numbers: Vec<u64> = self.waiting.keys().copied().collect();
        numbers.iter().for_each(|number| self.remove(*number));
        numbers
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns what the places are held for.
    pub fn room(&self) -> &RoomUse {
        &self.room
    }

    /// Returns a mutable reference to what the places are held for.
    pub fn room_mut(&mut self) -> &mut RoomUse {
        &mut self.room
    }

    /// Returns what each customer got.
    pub fn tally(&self) -> &ShareTally {
        &self.tally
    }

    /// Returns how many places come free.
    pub fn drain_mut(&mut self) -> &mut DrainRate {
        &mut self.drain
    }

    /// Returns the time that a prompt should be given until its first event, in milliseconds.
    pub fn start_ms(&self, prompt: &PromptShape) -> u64 {
        self.start_time.expected_ms(prompt.prompt_tokens)
    }

    /// Records a first event.
    pub fn record_start(&mut self, tokens_ahead: u64, elapsed_ms: u64) {
        self.start_time.record(tokens_ahead, elapsed_ms);
    }

    /// Records that a request was refused at once.
    pub fn record_refusal(&mut self, rank: Rank, sharer: &Sharer) {
        self.tally.entry(rank, sharer).refused += 1;
    }

    /// Returns the part of the time left that a wait of a sharer may take: less where waits turned
    /// out longer than expected.
    pub fn trust(&self, rank: Rank, sharer: &Sharer) -> f64 {
        self.lane(rank).map_or(1.0, |lane| lane.trust(sharer))
    }

    /// Returns the number of waiting requests that are ahead of a new one of this rank and could use
    /// any place; one that only few servers may serve waits for these.
    pub fn ahead_of(&self, rank: Rank) -> usize {
        let higher = self.lanes.iter().take_while(|(known, _)| *known <= rank);
        higher.map(|(_, lane)| lane.open_count()).sum()
    }

    /// Returns what a new request of a sharer would wait for; `modelled_per_ms` is the number of
    /// places that come free in a millisecond, while that can't be measured.
    pub fn standing(
        &self,
        now_ms: u64,
        rank: Rank,
        sharer: &Sharer,
        modelled_per_ms: f64,
    ) -> QueueStanding {
        let before = self.lane(rank).map(|lane| lane.open_of(sharer)).unwrap_or_default();
        let ahead = self.places_before(rank, sharer, before);
        let per_ms = self.drain.per_ms(now_ms, rank, modelled_per_ms);
        self.standing_after(now_ms, (rank, sharer, before), ahead, per_ms)
    }

    /// Returns the standing of a request by the rate at which places come free for its rank, or by
    /// the places that its sharer got, whichever is longer.
    fn standing_after(
        &self,
        now_ms: u64,
        (rank, sharer, before): (Rank, &Sharer, usize),
        ahead: usize,
        per_ms: f64,
    ) -> QueueStanding {
        let rank_wait_ms = (ahead + 1) as f64 / per_ms.max(f64::MIN_POSITIVE);
        let lane = self.lane(rank);
        let own_wait_ms = lane.and_then(|lane| lane.own_wait_ms(now_ms, sharer, before, per_ms));
        let wait_ms = rank_wait_ms.max(own_wait_ms.unwrap_or_default()) as u64;
        QueueStanding { ahead, wait_ms, waiting: self.len() }
    }

    fn places_before(&self, rank: Rank, sharer: &Sharer, before: usize) -> usize {
        let higher = self.lanes.iter().take_while(|(known, _)| *known < rank);
        let higher: usize = higher.map(|(_, lane)| lane.open_count()).sum();
        higher + self.lane(rank).map(|lane| lane.ahead_of(sharer, before)).unwrap_or_default()
    }

    /// Charges a place to the sharer of its request.
    pub fn charge(&mut self, now_ms: u64, rank: Rank, sharer: &Sharer, cost_us: u64) {
        self.lane_mut(rank).charge(now_ms, sharer, cost_us);
        self.drain.record_grant(now_ms, rank);
        let count = self.tally.entry(rank, sharer);
        count.granted += 1;
        count.granted_us += cost_us;
    }

    /// Returns whether requests were added since the last call.
    pub fn take_growth(&mut self) -> bool {
        std::mem::take(&mut self.has_grown)
    }

    /// Takes a request out whose turn would come too late, if there is one, since others came ahead
    /// of it: the last one of the sharer with the most that wait, at the lowest rank first.
    pub fn displace(&mut self, now_ms: u64, modelled_per_ms: f64) -> Option<u64> {
        let lanes = self.lanes.iter().rev();
        let mut last = lanes.filter_map(|(lane_rank, lane)| {
            let (sharer, key) = lane.last_of_longest()?;
            let before = lane.open_of(sharer) - 1;
            let ahead = self.places_before(*lane_rank, sharer, before).saturating_sub(1);
            let per_ms = self.drain.per_ms(now_ms, *lane_rank, modelled_per_ms);
            let place = (*lane_rank, sharer, before);
            let standing = self.standing_after(now_ms, place, ahead, per_ms);
            let left_ms = self.waiting.get(&key.1)?.expires_ms.saturating_sub(now_ms);
            (standing.wait_ms > left_ms).then_some(key.1)
        });
        let number = last.next()?;
        self.expire(now_ms, number);
        Some(number)
    }

    fn expire(&mut self, now_ms: u64, number: u64) {
        let Some(WaitingRequest { begun_ms, rank, sharer, .. }) = self.take(number) else { return };
        let count = self.tally.entry(rank, &sharer);
        count.displaced += 1;
        count.waited_ms += now_ms.saturating_sub(begun_ms);
        self.drain.set_contended(now_ms, !self.waiting.is_empty());
    }

    /// Returns the next decision that is due now.
    pub fn next_decision(
        &mut self,
        now_ms: u64,
        service: &str,
        backends: &Backends,
    ) -> Option<QueueDecision> {
        if let Some((expires_ms, number)) = self.expiries.first().copied()
            && expires_ms <= now_ms
        {
            let waiting = self.waiting.get(&number);
            let place = waiting.map(|waiting| (waiting.rank, waiting.sharer.clone()));
            self.expire(now_ms, number);
            if let Some((rank, sharer)) = place {
                self.lane_mut(rank).record_outcome(&sharer, true);
            }
            return Some(QueueDecision::Expire { number });
        }
        let next = self.next_send(now_ms, service, backends);
        self.drain.set_contended(now_ms, !self.waiting.is_empty());
        let Some((number, backend_server)) = next else {
            if self.waiting.is_empty() {
                self.room.settle();
            }
            return None;
        };
        let WaitingRequest { begun_ms, query, rank, sharer, .. } = self.take(number)?;
        self.lane_mut(rank).record_outcome(&sharer, false);
        let prompt = query.prompt;
        let cost_us = backends.get(&backend_server).map(|known| known.expected_use_us(&prompt));
        self.charge(now_ms, rank, &sharer, cost_us.unwrap_or_default());
        self.room.record_grant(now_ms, &backend_server);
        self.tally.entry(rank, &sharer).waited_ms += now_ms.saturating_sub(begun_ms);
        Some(QueueDecision::Send { number, backend_server, prompt })
    }

    fn next_send(&self, now_ms: u64, service: &str, backends: &Backends) -> Option<(u64, Name)> {
        for (_, lane) in &self.lanes {
            for (_, queue) in lane.in_turn() {
                let first_open = queue.open.first();
                // A request that few servers may serve does not hold up the others.
                let earlier = queue.limited.iter();
                for (_, number) in
                    earlier.take_while(|key| first_open.is_none_or(|open| *key < open))
                {
                    let query = &self.waiting.get(number)?.query;
                    let choice = backends.choose_engine(now_ms, service, query);
                    if let EngineChoice::Chosen(backend_server) = choice {
                        return Some((*number, backend_server));
                    }
                }
                let Some((_, number)) = first_open else { continue };
                let query = &self.waiting.get(number)?.query;
                return match backends.choose_engine(now_ms, service, query) {
                    EngineChoice::Chosen(backend_server) => {
                        let number =
                            self.choose_for(now_ms, service, backends, queue, &backend_server)?;
                        Some((number, backend_server))
                    }
                    EngineChoice::AllBusy | EngineChoice::NoneUsable => None,
                };
            }
        }
        None
    }

    fn lane(&self, rank: Rank) -> Option<&RankLane> {
        let index = self.lanes.binary_search_by_key(&rank, |(known, _)| *known).ok()?;
        Some(&self.lanes[index].1)
    }

    fn lane_mut(&mut self, rank: Rank) -> &mut RankLane {
        let index = match self.lanes.binary_search_by_key(&rank, |(known, _)| *known) {
            Ok(index) => index,
            Err(index) => {
                self.lanes.insert(index, (rank, RankLane::default()));
                index
            }
        };
        &mut self.lanes[index].1
    }

    /// Returns which request of a sharer takes the place that a server has for the first of them.
    fn choose_for(
        &self,
        now_ms: u64,
        service: &str,
        backends: &Backends,
        queue: &SharerQueue,
        backend_server: &str,
    ) -> Option<u64> {
        let waiting = |key: &TurnKey| self.waiting.get(&key.1);
        let first = queue.open.first().and_then(waiting)?;
        if first.expires_ms <= now_ms + LATE_MS
            || !backends.is_cold(now_ms, backend_server)
            || !backends.has_warm(now_ms, service)
        {
            return Some(first.number);
        }
        let loss = |waiting: &WaitingRequest| {
            backends.expected_loss(now_ms, backend_server, &waiting.query)
        };
        let choices = queue.open.iter().take(COLD_CHOICES).filter_map(waiting);
        let choices =
            choices.filter(|waiting| waiting.query.version_need == first.query.version_need);
        let least = choices.min_by(|left, right| loss(left).total_cmp(&loss(right)));
        least.map(|waiting| waiting.number)
    }
}
