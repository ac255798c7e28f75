//! Builds the reports that are due: of a member to its coordinators, of a coordinator to its cell
//! and of a cell to the others.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::fleet::additions::{Additions, PlaceNote};
use crate::gateway::fleet::cells::cell_of;
use crate::gateway::fleet::counter_feed::Counters;
use crate::gateway::fleet::leases::Lease;
use crate::gateway::fleet::membership::{Fleet, SentUsage};
use crate::gateway::fleet::message::{
    Body, CellLeader, CellReport, CellSummary, FreePlaces, MemberReport, Message, ROSTER_CHUNK,
    RosterEntry, RunningPlace, Sender, Spent, StoreStatus, UnitsLeft,
};
use crate::gateway::fleet::roster::LIVE_MS;
use crate::gateway::fleet::succession::LeadChange;
use crate::gateway::state::GatewayState;

/// Time between two ticks, in milliseconds.
pub const TICK_MS: u64 = 100;
/// Time between two reports of a member if nothing changed, in milliseconds.
const MEMBER_MS: u64 = 400;
/// Shortest time between two reports of a member that spends, in milliseconds.
const SPENDING_MEMBER_MS: u64 = 200;
/// Time between two reports of a coordinator to its cell or to other cells, in milliseconds.
const COORDINATOR_MS: u64 = 300;
/// Time for which a change of usage is repeated, in milliseconds, so that lost datagrams do no harm.
const REPEAT_MS: u64 = 1_000;
/// Number of reports after which one lists all customers.
const FULL_INTERVAL: u64 = 8;
/// Number of reports of a coordinator after which one lists its backend servers.
const ENGINE_INTERVAL: u64 = 3;
/// Number of instances listed in one report.
const LISTED_INSTANCES: usize = 12;
/// Time between two calculations of the cells if no instance became known, in milliseconds.
const ARRANGE_MS: u64 = 500;
/// Time after which a waiting request that is no longer asked for is dropped, in milliseconds.
const WAITING_EXPIRY_MS: u64 = 700;
/// Number of reports of this instance that are remembered until they are acknowledged.
const SENT_USAGE_LIMIT: usize = 16;
/// Number of coordinators of another cell that are contacted while none is heard.
const CONTACTS_PER_CELL: usize = 3;

impl GatewayState {
    /// Returns the head of this instance's datagrams.
    pub fn sender(&self, now_ms: u64) -> Sender {
        Sender {
            instance: self.fleet.own_name.clone(),
            incarnation: self.incarnation,
            sent_ms: now_ms,
            capacity: self.fleet.capacity,
            stopping: self.stop.is_some(),
        }
    }

    /// Returns a message with this body, and what is added to it.
    pub fn message(&self, now_ms: u64, body: Body) -> Message {
        self.message_with_note(now_ms, body, PlaceNote::default())
    }

    /// Returns a message with this body, and with what is told about one place.
    pub fn message_with_note(&self, now_ms: u64, body: Body, note: PlaceNote) -> Message {
        let PlaceNote { asker, queue } = note;
        let additions = match &body {
            Body::Cell(_) | Body::Member(_) | Body::Summary(_) => {
                self.report_additions(now_ms, &body)
            }
            Body::Answer(_) => Additions { cold: Some(Vec::new()), queue, ..Additions::default() },
            Body::Ask(ask) => {
                Additions { asker, is_repeatable: ask.is_repeatable, ..Additions::default() }
            }
            _ => Additions::default(),
        };
        Message { sender: self.sender(now_ms), body, additions }
    }

    fn report_additions(&self, now_ms: u64, report: &Body) -> Additions {
        let passed_over = match report {
            Body::Member(_) => self.fleet.passed_over(now_ms),
            _ => 0,
        };
        let outliers = match report {
            Body::Cell(_) => self.outliers_for_report(now_ms),
            _ => Vec::new(),
        };
        Additions {
            cold: Some(self.cold_for_report(now_ms)),
            evacuations: self.evacuations_for_report(now_ms),
            handover: self.handover_note(now_ms),
            limits: self.limits_for_report(now_ms),
            outliers,
            passed_over,
            ..Additions::default()
        }
    }

    /// Updates cells and roles, drops what silent instances held, and adds the reports that are due
    /// to the outbox.
    pub fn tick(&mut self, now_ms: u64) {
        self.fleet.stopping = self.stop.is_some();
        if self.fleet.needs_arranging || now_ms >= self.fleet.arranged_ms + ARRANGE_MS {
            self.fleet.arrange(now_ms);
            self.backends.set_layout(&self.fleet.layout);
        }
        let change = self.update_role(now_ms);
        self.update_limit_shares(now_ms);
        self.note_cold_changes(now_ms);
        self.drop_silent(now_ms);
        self.sample_room(now_ms);
        self.expire_parts(now_ms);
        let live = self.fleet.live_count(now_ms);
        self.fleet.succession.record_live(live);
        let known = self.fleet.known_count(now_ms);
        self.limits.set_instances(now_ms, live, known);
        if change == LeadChange::Begun {
            self.limits.begin(now_ms, &self.settings.bounds);
        }
        let mut to = self.fleet.roster.due_seeds(now_ms);
        to.extend(self.fleet.roster.comparison_partner(now_ms));
        if !to.is_empty() {
            let body = Body::Hello(self.fleet.roster.checksum());
            self.fleet.send_to_all(to, body);
        }
        let is_urgent = std::mem::take(&mut self.fleet.is_urgent);
        self.report_to_coordinators(now_ms, is_urgent);
        if self.fleet.is_coordinating() {
            self.report_to_cell(now_ms, is_urgent);
            self.report_to_other_cells(now_ms);
        }
    }

    fn update_role(&mut self, now_ms: u64) -> LeadChange {
        let was_suspended = now_ms >= self.fleet.ticked_ms + LIVE_MS;
        self.fleet.ticked_ms = now_ms;
        if was_suspended && self.fleet.is_coordinating() {
            // Another instance has coordinated meanwhile; what members run has to be learned anew.
            self.fleet.coordinating_since_ms = Some(now_ms);
            self.fleet.succession.resume();
        }
        match (self.fleet.coordinates(now_ms), self.fleet.coordinating_since_ms) {
            (true, None) => {
                self.fleet.coordinating_since_ms = Some(now_ms);
                self.fleet.succession.change_role();
                self.backends.clear_others();
            }
            (false, Some(_)) => {
                self.fleet.coordinating_since_ms = None;
                self.fleet.succession.change_role();
                self.fleet.leases.retain_holders(|_| false, &mut self.backends);
                // Members need not find out by themselves.
                self.report_to_cell(now_ms, true);
                self.hand_over_queue();
            }
            _ => {}
        }
        match self.fleet.record_lead(now_ms) {
            LeadChange::Left => self.hand_over_queue(),
            change => return change,
        }
        LeadChange::None
    }

    fn drop_silent(&mut self, now_ms: u64) {
        let roster = &self.fleet.roster;
        let is_live =
            |lease: &Lease| roster.get(&lease.holder).is_some_and(|known| known.is_live(now_ms));
        self.fleet.leases.retain_holders(is_live, &mut self.backends);
        let (kept, dropped): (Vec<_>, Vec<_>) = std::mem::take(&mut self.fleet.remote_waiting)
            .into_iter()
            .partition(|waiting| now_ms < waiting.asked_ms + WAITING_EXPIRY_MS);
        self.fleet.remote_waiting = kept;
        for waiting in dropped {
            self.drop_remote_waiting(waiting);
        }
    }

    fn store_status(&self, now_ms: u64) -> StoreStatus {
        StoreStatus {
            document_version: self.table.version(),
            proof_age_ms: self.freshness.age_ms(now_ms),
            position: self.store_position.unwrap_or_default(),
            is_reachable: self.store_reachable,
        }
    }

    fn report_to_coordinators(&mut self, now_ms: u64, is_urgent: bool) {
        let schedule = self.fleet.schedule;
        let spends = self.limits.changed_ms() >= schedule.member_sent_ms;
        let pause_ms = if spends { SPENDING_MEMBER_MS } else { MEMBER_MS };
        let targets = self.fleet.report_targets(now_ms);
        // A new coordinator learns at once what is run and spent here.
        let has_new_target = self.fleet.remember_targets(&targets);
        let is_due = is_urgent || has_new_target || now_ms >= schedule.member_sent_ms + pause_ms;
        if targets.is_empty() || !is_due {
            return;
        }
        self.fleet.schedule.member_sent_ms = now_ms;
        self.fleet.schedule.member_number += 1;
        let is_full = has_new_target || self.fleet.schedule.member_number % FULL_INTERVAL == 1;
        let since_ms = if is_full { 0 } else { now_ms.saturating_sub(REPEAT_MS) };
        let spent = self.limits.spent_since(since_ms);
        self.fleet.remember_usage(now_ms, self.limits.spent_since(0));
        let running = self.fleet.own_places.iter().map(|place| RunningPlace {
            number: place.number,
            backend_server: place.backend_server.clone(),
            unread_tokens: place.unread_tokens,
        });
        let own_suspects = self.fleet.suspect_feeds.member.next_report(now_ms, is_full);
        let report = MemberReport {
            status: self.store_status(now_ms),
            uptime_ms: now_ms.saturating_sub(self.started_ms),
            is_full,
            spent,
            running: running.collect(),
            suspects: own_suspects.into_iter().flat_map(|own| own.suspects).collect(),
            parts: self.parts.evidence_for_report(now_ms, is_full),
            leaving: self.backends.announced_leaving(),
        };
        let body = Body::Member(Box::new(report));
        self.fleet.send_to_all(targets, body);
    }

    fn report_to_cell(&mut self, now_ms: u64, is_urgent: bool) {
        if !is_urgent && now_ms < self.fleet.schedule.cell_sent_ms + COORDINATOR_MS {
            return;
        }
        let targets = self.fleet.cell_addresses.clone();
        if targets.is_empty() {
            return;
        }
        self.fleet.schedule.cell_sent_ms = now_ms;
        self.fleet.schedule.cell_number += 1;
        let number = self.fleet.schedule.cell_number;
        let is_full = number % FULL_INTERVAL == 1;
        let since_ms = if is_full { 0 } else { now_ms.saturating_sub(REPEAT_MS) };
        let left = self.limits.left_since(now_ms, since_ms);
        let left = left.into_iter().map(|(customer, units)| UnitsLeft { customer, units });
        let lists_engines = number % ENGINE_INTERVAL == 1;
        let leaders = self.fleet.other_leaders(now_ms).into_iter();
        let report = CellReport {
            status: self.store_status(now_ms),
            is_ready: self.fleet.is_ready(now_ms),
            live: self.fleet.live_count(now_ms) as u32,
            known: self.fleet.known_count(now_ms) as u32,
            reader: self.fleet.reader(now_ms, self.store_reachable),
            left: left.collect(),
            engines: if lists_engines { self.backends.engine_reports() } else { Vec::new() },
            leaders: leaders
                .map(|(cell, address)| CellLeader { cell: cell as u32, address })
                .collect(),
            instances: self.fleet.roster.next_entries(now_ms, LISTED_INSTANCES),
            suspects: self.fleet.suspect_feeds.cell.next_report(now_ms, is_full),
            parts: self.parts.evidence_for_report(now_ms, is_full),
            leaving: self.backends.announced_leaving(),
        };
        let body = Body::Cell(Box::new(report));
        self.fleet.send_to_all(targets, body);
    }

    fn report_to_other_cells(&mut self, now_ms: u64) {
        let is_due = now_ms >= self.fleet.schedule.summary_sent_ms + COORDINATOR_MS;
        // Before it has heard its members, its sums would count most of them as gone.
        if self.fleet.layout.count() <= 1 || !is_due || !self.fleet.is_able(now_ms) {
            return;
        }
        self.fleet.schedule.summary_sent_ms = now_ms;
        self.fleet.schedule.summary_number += 1;
        let is_full = self.fleet.schedule.summary_number % FULL_INTERVAL == 1;
        let spent = self.fleet.book.cell_sums(now_ms.saturating_sub(REPEAT_MS), is_full);
        let first = self.fleet.coordinators(now_ms).into_iter().next();
        let summary = CellSummary {
            status: self.store_status(now_ms),
            cell: self.fleet.layout.own as u32,
            is_first: first.is_some_and(|first| first == self.fleet.own_name),
            live: self.fleet.own_cell_live(now_ms) as u32,
            is_full,
            spent,
            free: self.free_places(now_ms),
            members: self.fleet.own_cell_entries(now_ms),
            suspects: self.fleet.suspect_feeds.summary.next_report(now_ms, is_full),
            parts: self.parts.evidence_for_report(now_ms, is_full),
            leaving: self.backends.announced_leaving(),
        };
        let to = self.fleet.other_cell_targets(now_ms);
        self.fleet.send_to_all(to, Body::Summary(Box::new(summary)));
    }

    fn free_places(&self, now_ms: u64) -> Vec<FreePlaces> {
        let services = self.backends.cell_services();
        let free = services.into_iter().map(|service| {
            let (_, free) = self.backends.slots(now_ms, &service);
            let waiting = self.queue_length(&service);
            let count = free.saturating_sub(waiting) as u32;
            FreePlaces { service, count }
        });
        free.filter(|places| places.count > 0).collect()
    }
}

impl Fleet {
    /// Adds the list of all known instances to the outbox.
    pub(crate) fn send_roster(&mut self, now_ms: u64, to: SocketAddr) {
        let entries = self.roster.entries(now_ms);
        for chunk in entries.chunks(ROSTER_CHUNK) {
            self.send(to, Body::Roster(chunk.to_vec()));
        }
    }

    /// Returns the units that this instance had spent when it sent the datagram that is echoed.
    pub(crate) fn acknowledged_usage(&self, echoed_sent_ms: Option<u64>) -> Option<Counters> {
        let echoed_sent_ms = echoed_sent_ms?;
        let sent = self.sent_usage.iter().rev().find(|usage| usage.sent_ms <= echoed_sent_ms)?;
        let mut counters = Counters::default();
        for (customer, units) in &sent.spent {
            counters.set(customer, *units);
        }
        Some(counters)
    }

    /// Remembers whom this instance reports to, and returns whether a receiver is new.
    fn remember_targets(&mut self, targets: &[SocketAddr]) -> bool {
        let has_new_target = targets.iter().any(|to| !self.report_targets.contains(to));
        self.report_targets = targets.to_vec();
        has_new_target
    }

    fn remember_usage(&mut self, now_ms: u64, spent: Vec<Spent>) {
        let spent = spent.into_iter().map(|entry| (entry.customer, entry.units)).collect();
        self.sent_usage.push(SentUsage { sent_ms: now_ms, spent });
        if self.sent_usage.len() > SENT_USAGE_LIMIT {
            self.sent_usage.remove(0);
        }
    }

    /// Returns the coordinators of the own cell and those of other cells that granted places.
    fn report_targets(&self, now_ms: u64) -> Vec<SocketAddr> {
        let followed = self.followed(now_ms).map(|seen| seen.name.clone());
        let names = self.coordinators(now_ms).into_iter().chain(followed);
        let own_cell = names.filter_map(|name| self.roster.get(&name)).map(|known| known.address);
        let granters = self.own_places.iter().filter_map(|place| place.granted_by);
        let mut targets: Vec<_> = own_cell.chain(granters).collect();
        targets.sort();
        targets.dedup();
        targets
    }

    fn own_cell_entries(&mut self, now_ms: u64) -> Vec<RosterEntry> {
        let cells = self.layout.count();
        let own = self.layout.own;
        let mut entries = self.roster.next_entries(now_ms, LISTED_INSTANCES * cells);
        entries.retain(|entry| cell_of(&entry.instance, cells) == own);
        entries
    }

    fn other_cell_targets(&self, now_ms: u64) -> Vec<SocketAddr> {
        let cells = self.layout.count();
        let mut targets = Vec::new();
        for cell in (0..cells).filter(|cell| *cell != self.layout.own) {
            let heard = self
                .other_coordinators
                .iter()
                .filter(|other| other.cell == cell && now_ms < other.heard_ms + LIVE_MS);
            let before = targets.len();
            targets.extend(heard.map(|other| other.address));
            if targets.len() == before {
                let told = self.leaders.iter().filter(|(known, _)| *known == cell);
                targets.extend(told.map(|(_, address)| *address));
                let members = self
                    .roster
                    .iter()
                    .filter(|known| !known.stopping && cell_of(&known.name, cells) == cell);
                let mut members: Vec<_> = members.collect();
                members.sort_by_key(|known| {
                    (u32::MAX - known.capacity, xxh3_64(known.name.as_bytes()))
                });
                targets.extend(members.iter().take(CONTACTS_PER_CELL).map(|known| known.address));
                targets.dedup();
            }
        }
        targets
    }
}
