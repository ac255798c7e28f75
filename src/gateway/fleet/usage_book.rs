//! The usage of customers that a coordinator sums: that of its cell's members, by member, and that
//! of the other cells.

use crate::gateway::fleet::counter_feed::{CounterFeed, Counters, SourceId};
use crate::gateway::fleet::message::Spent;
use crate::name::Name;

/// Time after its start in which all that a member reports counts, in milliseconds; of a member
/// that has run for longer and is not known yet, only what it spends from then on counts.
const FRESH_MS: u64 = 5_000;

/// A report of units spent.
#[derive(Clone, Copy, Debug)]
pub struct UsageUpdate<'a> {
    /// Whether all customers that spent anything are listed.
    pub is_full: bool,
    /// Units by customer.
    pub spent: &'a [Spent],
    /// Time since the start of the sender, in milliseconds.
    pub uptime_ms: u64,
}

/// Sums of usage at a coordinator.
#[derive(Clone, Debug, Default)]
pub struct UsageBook {
    /// Units that the members of the cell spent, as far as this instance heard it.
    cell: Counters,
    changed: Vec<(Name, u64)>,
    feeds: Vec<(usize, CounterFeed)>,
    members: Vec<Member>,
}

#[derive(Clone, Debug)]
struct Member {
    counters: Counters,
    incarnation: u64,
    name: Name,
}

impl UsageBook {
    /// Records units that this instance spent itself.
    pub fn record_own(&mut self, now_ms: u64, customer: &Name, units: u64) {
        self.add_to_cell(now_ms, customer, units);
    }

    /// Records the report of a member and returns what it spent since the last one.
    ///
    /// A restarted member counts from zero; what it spent before stays in the sum. A counter that
    /// went back adds nothing.
    pub fn record_member(
        &mut self,
        now_ms: u64,
        from: &SourceId,
        update: UsageUpdate<'_>,
    ) -> Vec<Spent> {
        let (name, incarnation) = from;
        let index = match self.members.binary_search_by(|member| member.name.cmp(name)) {
            Ok(index) if self.members[index].incarnation == *incarnation => index,
            found => {
                let is_fresh = update.uptime_ms < FRESH_MS;
                if !is_fresh && !update.is_full {
                    return Vec::new();
                }
                let mut counters = Counters::default();
                if !is_fresh {
                    for entry in update.spent {
                        counters.set(&entry.customer, entry.units);
                    }
                }
                let member = Member { counters, incarnation: *incarnation, name: name.clone() };
                match found {
                    Ok(index) => {
                        self.members[index] = member;
                        index
                    }
                    Err(index) => {
                        self.members.insert(index, member);
                        index
                    }
                }
            }
        };
        let mut gained = Vec::new();
        for entry in update.spent {
            let counters = &mut self.members[index].counters;
            let known_units = counters.get(&entry.customer);
            if entry.units > known_units {
                counters.set(&entry.customer, entry.units);
                let units = entry.units - known_units;
                gained.push(Spent { customer: entry.customer.clone(), units });
            }
        }
        for entry in &gained {
            self.add_to_cell(now_ms, &entry.customer, entry.units);
        }
        gained
    }

    /// Records the sums of another cell and returns what it spent since the last ones.
    pub fn record_cell(
        &mut self,
        now_ms: u64,
        cell: usize,
        from: &SourceId,
        update: UsageUpdate<'_>,
    ) -> Vec<Spent> {
        let index = match self.feeds.binary_search_by_key(&cell, |(known, _)| *known) {
            Ok(index) => index,
            Err(index) => {
                self.feeds.insert(index, (cell, CounterFeed::default()));
                index
            }
        };
        self.feeds[index].1.receive(now_ms, from, update.is_full, update.spent)
    }

    /// Returns the sums of the cell: all of them, or those that changed since `since_ms`.
    pub fn cell_sums(&self, since_ms: u64, is_full: bool) -> Vec<Spent> {
        let spent = |customer: &Name, units| Spent { customer: customer.clone(), units };
        if is_full {
            return self.cell.iter().map(|(customer, units)| spent(customer, units)).collect();
        }
        let changed = self.changed.iter().filter(|(_, changed_ms)| *changed_ms >= since_ms);
        changed.map(|(customer, _)| spent(customer, self.cell.get(customer))).collect()
    }

    fn add_to_cell(&mut self, now_ms: u64, customer: &Name, units: u64) {
        self.cell.add(customer, units);
        match self.changed.binary_search_by(|(known, _)| known.cmp(customer)) {
            Ok(index) => self.changed[index].1 = now_ms,
            Err(index) => self.changed.insert(index, (customer.clone(), now_ms)),
        }
    }
}
