//! Decides who leads a cell while instances stop, start and crash, without votes.
//!
//! The load it answers: a rolling replacement that stops and starts a large part of the instances
//! in turn, so that a coordinator of the highest rank starts or stops every few seconds. The lead
//! changes only when the leader stops or falls silent. An instance of higher rank that starts
//! beside a leader stands by: it coordinates, says that it is not ready, and learns what members
//! run and what is left of the limits. A leader that stops goes on until another one is ready.

use crate::gateway::fleet::coordinators::Decider;
use crate::gateway::fleet::membership::{Fleet, SeenCoordinator};
use crate::gateway::fleet::roster::LIVE_MS;
use crate::name::Name;

/// Time for which a new coordinator learns what its members run before it grants, in milliseconds,
/// unless all of them have reported.
const SETTLE_MS: u64 = 300;
/// Time after its start for which an instance that has not heard all seeds, or that joins a fleet
/// without having learned what is left of the limits, grants nothing, in milliseconds.
const LONELY_SETTLE_MS: u64 = 1_500;
/// Time for which an instance follows a coordinator until it knows what is left of all limits, in
/// milliseconds; longer than the time between two reports that list all customers.
const FOLLOWED_MS: u64 = 3_000;
/// Time by which a member must have run longer than this instance to show that there was a fleet
/// before, in milliseconds.
const ELDER_MS: u64 = 2_000;

/// How a coordinator stands, in the order in which it is asked.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Standing {
    /// It leads, or would if those before it by rank fell silent.
    Ready,
    /// It stops and grants places until another one is ready.
    Stopping,
    /// It knows what it needs to know, and lets another one lead.
    InReserve,
}

/// How the role of this instance changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LeadChange {
    /// It is ready, and no instance of the fleet has run before.
    Begun,
    /// It has left the lead to another one.
    Left,
    /// It is as it was, or became ready knowing what others knew.
    None,
}

/// What this instance knows of the succession in its cell.
#[derive(Clone, Debug, Default)]
pub(crate) struct Succession {
    /// Since when it follows a coordinator without a gap, in milliseconds of the boot clock.
    following_since_ms: Option<u64>,
    /// Whether a member has run for longer than this instance.
    has_elders: bool,
    /// Members that reported since this instance coordinates, sorted.
    heard: Vec<Name>,
    /// Whether it knows what is left of all limits.
    pub(crate) knows_balances: bool,
    /// Live instances when that was last known.
    last_live: usize,
    /// Whether this instance was suspended, so that it may have spent before.
    was_suspended: bool,
    /// Whether this instance decided at the last tick.
    was_deciding: bool,
    /// Whether this instance was ready at the last tick.
    was_ready: bool,
}

impl Succession {
    /// Records the report of a member, `uptime_ms` after its start.
    pub(crate) fn record_member(&mut self, name: &Name, uptime_ms: u64, own_uptime_ms: u64) {
        self.has_elders |= uptime_ms >= own_uptime_ms + ELDER_MS;
        if let Err(index) = self.heard.binary_search(name) {
            self.heard.insert(index, name.clone());
        }
    }

    /// Forgets what members reported, since this instance begins or ends to coordinate.
    pub(crate) fn change_role(&mut self) {
        self.heard.clear();
        self.was_ready = false;
    }

    /// Forgets what may have changed while this instance was suspended.
    pub(crate) fn resume(&mut self) {
        *self = Self { last_live: self.last_live, was_suspended: true, ..Self::default() };
    }

    /// Records the number of live instances, which an instance that begins to coordinate keeps
    /// until it has heard its members.
    pub(crate) fn record_live(&mut self, live: usize) {
        self.last_live = live;
    }

    /// Returns the number of live instances when that was last known, this one included.
    pub(crate) fn last_live(&self) -> usize {
        self.last_live.max(1)
    }
}

impl Fleet {
    /// Returns whether this instance coordinates its cell, and is not to leave that to another one
    /// that leads it.
    ///
    /// Where no member has run for longer, the rank decides: the first to be ready may be a weak one.
    pub fn is_ready(&self, now_ms: u64) -> bool {
        let Succession { was_ready, has_elders, .. } = self.succession;
        let may_lead = was_ready || !has_elders || !self.has_leader_below(now_ms);
        self.is_able(now_ms) && may_lead
    }

    /// Returns whether this instance coordinates its cell and knows what its members run and what
    /// is left of the limits.
    pub(crate) fn is_able(&self, now_ms: u64) -> bool {
        let Some(since_ms) = self.coordinating_since_ms else { return false };
        let has_run_for = |time_ms| now_ms >= self.started_ms + time_ms;
        let knows_fleet = self.roster.has_heard_seeds() || has_run_for(LONELY_SETTLE_MS);
        let knows_members =
            now_ms >= since_ms + SETTLE_MS || has_run_for(SETTLE_MS) && self.has_heard_members();
        let Succession { knows_balances, has_elders, .. } = self.succession;
        let knows_balances = knows_balances || !has_elders || has_run_for(LONELY_SETTLE_MS);
        knows_fleet && knows_members && knows_balances
    }

    /// Returns whether this instance could lead and lets another one do so.
    pub(crate) fn stands_by(&self, now_ms: u64) -> bool {
        self.is_able(now_ms) && !self.is_ready(now_ms)
    }

    /// Returns whether this instance should be told what is left of the limits.
    pub(crate) fn wants_balances(&self) -> bool {
        self.is_coordinating() && !self.succession.knows_balances
    }

    /// Returns the coordinator of the own cell that leads it and is not stopping; this instance only
    /// if it was ready before, since what it has learned since then may take the role from it.
    pub(crate) fn leader(&self, now_ms: u64) -> Option<&Name> {
        self.ranked.iter().find(|name| {
            let may_lead = **name != self.own_name || self.succession.was_ready;
            may_lead && self.standing(now_ms, name) == Some(Standing::Ready)
        })
    }

    /// Returns whether this instance coordinates its cell: it is one of its coordinators, or it
    /// stops and no other one is ready yet.
    pub(crate) fn coordinates(&self, now_ms: u64) -> bool {
        let goes_on = self.stopping && self.is_coordinating() && self.succession.was_deciding;
        goes_on && self.leader(now_ms).is_none()
            || self.coordinators(now_ms).contains(&self.own_name)
    }

    /// Returns how a coordinator stands; `None` if it is silent or not able to decide.
    pub(crate) fn standing(&self, now_ms: u64, name: &Name) -> Option<Standing> {
        if *name != self.own_name {
            return self.seen.iter().find(|seen| seen.name == *name)?.standing(now_ms);
        }
        match (self.is_able(now_ms), self.stopping) {
            (false, _) => None,
            (true, true) => Some(Standing::Stopping),
            (true, false) if self.is_ready(now_ms) => Some(Standing::Ready),
            (true, false) => Some(Standing::InReserve),
        }
    }

    /// Returns the rank of an instance in its cell; those that stop come last.
    pub(crate) fn place_by_rank(&self, name: &Name) -> usize {
        self.ranked.iter().position(|ranked| ranked == name).unwrap_or(usize::MAX)
    }

    /// Records who leads at a tick, and returns how the role of this instance changed.
    pub(crate) fn record_lead(&mut self, now_ms: u64) -> LeadChange {
        let knew_seeds = self.roster.has_heard_seeds();
        let is_ready = self.is_ready(now_ms);
        let decider = self.decider(now_ms);
        let follows = self.followed(now_ms).is_some();
        let succession = &mut self.succession;
        let since_ms = succession.following_since_ms.take().unwrap_or(now_ms);
        succession.following_since_ms = follows.then_some(since_ms);
        let has_followed = follows && now_ms >= since_ms + FOLLOWED_MS;
        let has_begun = is_ready
            && knew_seeds
            && !succession.was_suspended
            && !succession.has_elders
            && !succession.knows_balances
            && !follows;
        succession.knows_balances |= has_followed || is_ready;
        let has_changed = is_ready != std::mem::replace(&mut succession.was_ready, is_ready);
        let decides = decider == Decider::Own;
        let did_decide = std::mem::replace(&mut succession.was_deciding, decides);
        // Members learn at once whom to ask.
        self.is_urgent |= has_changed;
        match decider {
            Decider::Other(_) if did_decide => LeadChange::Left,
            Decider::Own if has_begun => LeadChange::Begun,
            _ => LeadChange::None,
        }
    }

    /// Returns whether an instance that this one precedes by rank leads the cell.
    fn has_leader_below(&self, now_ms: u64) -> bool {
        let others = self.ranked.iter().skip_while(|name| **name != self.own_name).skip(1);
        let mut seen = others.filter_map(|name| self.seen.iter().find(|seen| seen.name == *name));
        seen.any(|seen| seen.standing(now_ms) == Some(Standing::Ready))
    }

    fn has_heard_members(&self) -> bool {
        let others = self.ranked.iter().filter(|name| **name != self.own_name);
        others.into_iter().all(|name| self.succession.heard.binary_search(name).is_ok())
    }
}

impl SeenCoordinator {
    /// Returns how it stands; `None` if it is silent or not able to decide.
    pub(crate) fn standing(&self, now_ms: u64) -> Option<Standing> {
        match self {
            Self { heard_ms, .. } if now_ms >= heard_ms + LIVE_MS => None,
            Self { is_ready: true, stopping: false, .. } => Some(Standing::Ready),
            Self { is_ready: true, stopping: true, .. } => Some(Standing::Stopping),
            Self { stands_by: true, stopping: false, .. } => Some(Standing::InReserve),
            Self { .. } => None,
        }
    }
}
