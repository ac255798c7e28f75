//! Shares what cold backend servers bear among all instances.
//!
//! The load it answers: servers that start or come back are idle, alone or all of a data centre at
//! once, and every instance has requests for them. The coordinator that grants the places at a cold
//! server grants no more than it bears. An instance that decides alone, or whose coordinator is of a
//! build without this limit, uses its part, and one that has just started none, since it does not
//! know how many others there are.

use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::backend::Backend;
use crate::gateway::fleet::additions::{Additions, ToldCold};
use crate::gateway::fleet::coordinators::Decider;
use crate::gateway::fleet::membership::Fleet;
use crate::gateway::fleet::message::Body;
use crate::gateway::rate_limit::cold::{ColdBounds, ColdNews};
use crate::gateway::state::GatewayState;
use crate::name::Name;

/// Time after its start for which an instance uses no part of what cold servers bear unless it is
/// granted, in milliseconds.
const JOIN_MS: u64 = 1_500;
/// Time for which a coordinator that takes over uses a third, since the one before it may go on, in milliseconds.
const TAKE_OVER_MS: u64 = 2_000;
/// Time for which reports repeat news, in milliseconds.
const REPEAT_MS: u64 = 1_500;
/// Maximum number of cold servers in one report.
const REPORTED_LIMIT: usize = 64;

/// Something to log about cold backend servers.
#[derive(Clone, Debug, PartialEq)]
pub enum ColdNotice {
    /// A backend server turned cold or warm.
    Turned {
        /// Id of the backend server.
        backend_server: Name,
        /// Whether that is known from its record.
        is_from_record: bool,
        /// Time for which it stays cold, in milliseconds; `None` if it is warm.
        left_ms: Option<u64>,
        /// Requests a second that it gets from all instances, if it is cold.
        requests_per_s: Option<f64>,
    },
    /// The record of a backend server says something of it that can't be true.
    Unreadable {
        /// Id of the backend server.
        backend_server: Name,
    },
}

impl ColdNotice {
    fn of(now_ms: u64, backend: &Backend) -> Self {
        let cold = &backend.limits.cold;
        Self::Turned {
            backend_server: backend.id.clone(),
            is_from_record: !cold.is_told(now_ms),
            left_ms: cold.left_ms(now_ms),
            requests_per_s: cold.millirequests_per_s(now_ms).map(|rate| rate as f64 / 1_000.0),
        }
    }
}

impl GatewayState {
    /// Records what an answer says of how long its backend server stays cold.
    pub fn record_stated_cold(&mut self, now_ms: u64, backend_server: &Name, left_ms: u64) {
        let Some(backend) = self.backends.get_mut(backend_server) else { return };
        let news = ColdNews {
            is_from_record: false,
            sequence: backend.record.sequence,
            stated_ms: now_ms,
            until_ms: now_ms.saturating_add(left_ms),
        };
        let was_cold = backend.limits.cold.is_cold(now_ms);
        backend.limits.cold.merge(now_ms, news);
        self.fleet.is_urgent |= !was_cold && backend.limits.cold.is_cold(now_ms);
    }

    /// Removes and returns what is to be logged about cold backend servers.
    pub fn take_cold_notices(&mut self) -> Vec<ColdNotice> {
        std::mem::take(&mut self.cold_notices)
    }

    /// Notes, once for each backend server, that its record says something that can't be true.
    pub(crate) fn note_unreadable_cold(&mut self, id: &Name) {
        let Some(backend) = self.backends.get_mut(id) else { return };
        if !std::mem::replace(&mut backend.cold_was_unreadable, true) {
            self.cold_notices.push(ColdNotice::Unreadable { backend_server: id.clone() });
        }
    }

    pub(crate) fn note_cold_changes(&mut self, now_ms: u64) {
        for id in self.backends.take_cold_changes(now_ms) {
            let changed = self.backends.get(&id).map(|backend| ColdNotice::of(now_ms, backend));
            self.cold_notices.extend(changed);
        }
    }

    /// Updates what cold servers bear by the document and the settings in force.
    pub(crate) fn update_cold_bounds(&mut self) {
        let bounds = self.table.services().iter().filter_map(|service| {
            let spec = service.cold?;
            let rate = self.settings.bounds.cold_millirequests_per_s(spec.millirequests_per_s);
            let bounds = ColdBounds { cold_ms: spec.cold_ms, millirequests_per_s: rate };
            Some((service.name.clone(), bounds))
        });
        let bounds = bounds.collect();
        // Instances that begin with different parts of a request send in turn.
        let part_permille = xxh3_64(self.fleet.own_name.as_bytes()) % 1_000;
        self.backends.set_cold_bounds(bounds, part_permille);
    }

    /// Returns the share of what cold servers bear that this instance may use, in thousandths.
    pub(crate) fn cold_share_permille(&mut self, now_ms: u64, known: u64, granting: u64) -> u64 {
        let decider = self.fleet.decider(now_ms);
        let since_ms = self.fleet.deciding_since_ms.filter(|_| decider == Decider::Own);
        let since_ms = since_ms.unwrap_or(now_ms);
        self.fleet.deciding_since_ms = (decider == Decider::Own).then_some(since_ms);
        let has_joined = self.fleet.roster.has_heard_seeds() && now_ms >= self.started_ms + JOIN_MS;
        // Two that do not hear each other may both take themselves for the one that decides; each
        // member follows one of them.
        let followers = self.fleet.followers(now_ms);
        let followed = granting * followers / (self.fleet.own_cell_live(now_ms) as u64).max(1);
        match decider {
            _ if !has_joined => 0,
            Decider::Own if now_ms < since_ms + TAKE_OVER_MS => followed / 3,
            Decider::Own => followed,
            Decider::Other(address) if self.fleet.limits_cold(address) => 0,
            Decider::Other(_) | Decider::None => (1_000 / known).max(1),
        }
    }

    pub(crate) fn receive_cold(
        &mut self,
        now_ms: u64,
        from: &Name,
        body: &Body,
        additions: &Additions,
    ) {
        let told = additions.cold.as_deref();
        if matches!(body, Body::Answer(_) | Body::Cell(_) | Body::Member(_) | Body::Summary(_)) {
            self.fleet.roster.set_limits_cold(from, told.is_some());
        }
        if matches!(body, Body::Member(_)) {
            self.fleet.roster.set_passed_over(from, additions.passed_over);
        }
        for cold in told.unwrap_or_default() {
            let stated_ms = now_ms.saturating_sub(cold.age_ms);
            let news = ColdNews {
                is_from_record: false,
                sequence: cold.sequence,
                stated_ms,
                until_ms: now_ms.saturating_add(cold.left_ms),
            };
            self.backends.merge_cold(now_ms, &cold.backend_server, cold.born_ms, news);
        }
    }

    /// Returns the cold servers for a report that others don't know from records: those of which there
    /// is news, and others as far as they fit in.
    pub(crate) fn cold_for_report(&self, now_ms: u64) -> Vec<ToldCold> {
        let told = self.backends.told_cold(now_ms).map(|backend| {
            let cold = &backend.limits.cold;
            let stated_ms = match cold.is_out_of_reach() {
                true => now_ms,
                false => cold.latest().map(|news| news.stated_ms).unwrap_or_default(),
            };
            ToldCold {
                age_ms: now_ms.saturating_sub(stated_ms),
                backend_server: backend.id.clone(),
                born_ms: backend.record.born_ms,
                left_ms: cold.left_ms(now_ms).unwrap_or_default(),
                sequence: backend.record.sequence,
            }
        });
        let mut told: Vec<_> = told.filter(|cold| cold.age_ms < REPEAT_MS).collect();
        told.sort_by_key(|cold| cold.age_ms);
        told.truncate(REPORTED_LIMIT);
        told
    }
}

impl Fleet {
    /// Returns how many better ranked members of the cell this instance passes over for the one that
    /// decides on its places.
    pub(crate) fn passed_over(&self, now_ms: u64) -> u32 {
        let name = match self.decider(now_ms) {
            Decider::None => None,
            Decider::Other(address) => self.roster.at_address(address).map(|known| &known.name),
            Decider::Own => Some(&self.own_name),
        };
        let rank = name.and_then(|name| self.ranked.iter().position(|known| known == name));
        rank.unwrap_or(self.ranked.len()) as u32
    }

    /// Returns the number of live members of the cell whose places this instance decides on, itself
    /// included; those of an earlier build don't tell and count.
    fn followers(&self, now_ms: u64) -> u64 {
        let own_rank = self.ranked.iter().position(|name| *name == self.own_name);
        let own_rank = own_rank.unwrap_or_default() as u32;
        let members = self.ranked.iter().filter_map(|name| self.roster.get(name));
        let members = members.filter(|known| known.is_live(now_ms));
        let followers = members.filter(|known| !known.limits_cold || known.passed_over == own_rank);
        followers.count() as u64 + 1
    }

    /// Returns whether the coordinator at an address limits what cold servers get.
    pub(crate) fn limits_cold(&self, address: std::net::SocketAddr) -> bool {
        self.roster.at_address(address).is_some_and(|known| known.limits_cold)
    }
}
