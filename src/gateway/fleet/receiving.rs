//! Merges the datagrams of other instances into the state.

use std::net::SocketAddr;

use crate::gateway::evacuation::following::HeardFrom;
use crate::gateway::fleet::additions::ToldQueue;
use crate::gateway::fleet::coordinators::Decider;
use crate::gateway::fleet::counter_feed::SourceId;
use crate::gateway::fleet::membership::{Fleet, OtherCoordinator, SeenCoordinator};
use crate::gateway::fleet::message::{
    Body, CellReport, CellSummary, Envelope, MemberReport, Message, PlaceAnswer, PlaceStep,
    ReportedSuspects, Sender, Spent, StoreStatus,
};
use crate::gateway::fleet::origin_message::OriginAnswer;
use crate::gateway::fleet::roster::proved_ms;
use crate::gateway::fleet::suspect_feed::SuspectFeeds;
use crate::gateway::fleet::usage_book::UsageUpdate;
use crate::gateway::state::{GatewayState, monotonic_now};
use crate::gateway::store_updates::StateChange;
use crate::name::Name;

/// Time by which a proof must be newer to be passed on at once, in milliseconds.
const MUCH_NEWER_MS: u64 = 1_500;

/// The report that brings suspects.
#[derive(Clone, Copy, Debug)]
enum ReportKind {
    /// From a coordinator to its cell.
    Cell,
    /// From a member to its coordinators.
    Member,
    /// From the coordinator of another cell.
    Summary,
}

/// The sender of a report to a cell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CellSource {
    /// The coordinator whose decisions count here.
    Followed,
    /// Another one.
    Other,
}

/// Effect of a datagram that the tasks of the process carry out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Received {
    /// An answer to a request for a place.
    pub answer: Option<PlaceAnswer>,
    /// An answer to a question for the origin of a stream.
    pub origin: Option<OriginAnswer>,
    /// Whether this instance lacks something that the sender has.
    pub fetches_update: bool,
    /// The queue at which the request for a place was refused.
    pub queue: Option<ToldQueue>,
    /// Whether the sender is new or was restarted.
    pub is_new: bool,
    /// Whether reports should be sent soon.
    pub is_urgent: bool,
    /// Whether the store should be read, since the sender knows more.
    pub reads_store: bool,
    /// Changes that are logged.
    pub state_changes: Vec<StateChange>,
}

impl GatewayState {
    /// Merges a datagram into the state; what follows is added to the outbox.
    pub fn receive_message(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        envelope: &Envelope,
        message: Message,
    ) -> Received {
        let Message { sender, body, additions } = message;
        if sender.instance == self.fleet.own_name {
            return Received::default();
        }
        let contact = self.fleet.roster.receive(now_ms, from, &sender);
        if contact.is_new {
            // What an earlier start reported holds no longer.
            self.fleet.seen.retain(|seen| seen.name != sender.instance);
            // A new member learns at once who coordinates and what is left of the limits.
            let is_member = self.fleet.is_in_own_cell(&sender.instance);
            self.fleet.is_urgent |= is_member && self.fleet.is_able(now_ms);
        }
        self.fleet.needs_arranging |= contact.is_new || contact.has_begun_to_stop;
        let mut received = Received {
            is_new: contact.is_new,
            is_urgent: contact.has_begun_to_stop,
            ..Received::default()
        };
        self.merge_limits(now_ms, &additions.limits);
        self.receive_cold(now_ms, &sender.instance, &body, &additions);
        if let Some(told) = &additions.evacuations {
            let from = HeardFrom::Instance(sender.instance.clone());
            received.state_changes = self.apply_told_evacuations(now_ms, told, from);
            received.is_urgent |= !received.state_changes.is_empty();
        }
        self.receive_handover(now_ms, from, &sender, envelope, &additions);
        match body {
            Body::Answer(answer) => {
                received.answer = Some(answer);
                received.queue = additions.queue;
            }
            Body::Ask(mut ask) => {
                ask.is_repeatable = additions.is_repeatable;
                let asker = additions.asker.as_ref();
                self.receive_ask(now_ms, from, &sender.instance, &ask, asker);
            }
            Body::Hello(checksum) => self.answer_hello(now_ms, from, checksum),
            Body::Origin(answer) => received.origin = Some(answer),
            Body::OriginAsk(ask) => self.answer_origin_ask(now_ms, from, &ask),
            Body::Origins(told) => self.receive_origins(now_ms, told),
            Body::Progress(list) => {
                for progress in list {
                    match progress.step {
                        PlaceStep::FirstEvent { elapsed_ms, tokens_ahead } => self
                            .record_remote_first_event(
                                now_ms,
                                &sender.instance,
                                progress.number,
                                elapsed_ms,
                                tokens_ahead,
                            ),
                        PlaceStep::Ended(end) => {
                            self.end_lease(now_ms, &sender.instance, progress.number, &end);
                        }
                    }
                }
            }
            Body::Roster(entries) => {
                let changed = self.fleet.roster.merge(now_ms, &entries);
                received.is_urgent |= changed;
                self.fleet.needs_arranging |= changed;
            }
            Body::Cell(_) | Body::Member(_) | Body::Summary(_) if !contact.in_order => {}
            Body::Cell(report) => {
                self.receive_status(now_ms, &sender, envelope, &report.status, &mut received);
                let stands_by = additions.handover.is_some_and(|note| note.stands_by);
                let source = self.receive_cell(now_ms, &sender, envelope, *report, stands_by);
                if source == CellSource::Followed {
                    self.adopt_outliers(now_ms, &additions.outliers);
                }
            }
            Body::Member(report) => {
                self.receive_status(now_ms, &sender, envelope, &report.status, &mut received);
                self.receive_member(now_ms, from, &sender, &report, contact.is_new);
            }
            Body::Summary(summary) => {
                self.receive_status(now_ms, &sender, envelope, &summary.status, &mut received);
                self.receive_summary(now_ms, from, &sender, *summary);
            }
        }
        received
    }

    fn answer_hello(&mut self, now_ms: u64, from: SocketAddr, checksum: u64) {
        if checksum != self.fleet.roster.checksum() {
            self.fleet.send_roster(now_ms, from);
        } else {
            self.fleet.send(from, Body::Roster(Vec::new()));
        }
    }

    fn receive_status(
        &mut self,
        now_ms: u64,
        sender: &Sender,
        envelope: &Envelope,
        status: &StoreStatus,
        received: &mut Received,
    ) {
        let same_cell = self.fleet.is_in_own_cell(&sender.instance);
        let position = if same_cell { status.position } else { Default::default() };
        self.record_peer_versions(now_ms, position, status.document_version);
        // The sender's proof covers its own document and position, so it counts only if this
        // instance has both.
        if status.document_version == self.table.version()
            && status.position <= self.store_position.unwrap_or_default()
            && let Some(proved_ms) = proved_ms(now_ms, envelope, status.proof_age_ms)
        {
            let age_ms = self.freshness.age_ms(now_ms).unwrap_or_default();
            if age_ms > now_ms.saturating_sub(proved_ms) + MUCH_NEWER_MS {
                self.fleet.is_urgent = true;
                received.is_urgent = true;
            }
            self.freshness.record_proof(proved_ms);
        }
        let is_behind = status.document_version > self.table.version()
            || status.position > self.store_position.unwrap_or_default();
        received.fetches_update = is_behind && (same_cell || !self.store_reachable);
        received.reads_store = is_behind && !received.fetches_update;
    }

    fn receive_member(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        sender: &Sender,
        report: &MemberReport,
        is_new: bool,
    ) {
        let name = &sender.instance;
        if self.fleet.is_coordinating() {
            let backends = &mut self.backends;
            self.fleet.leases.reconcile(now_ms, name, &report.running, backends);
        }
        self.mark_leaving(&report.leaving);
        self.merge_part_evidence(now_ms, name, &report.parts);
        if !self.fleet.is_in_own_cell(name) {
            return;
        }
        if is_new {
            self.fleet.send_roster(now_ms, from);
            self.fleet.is_urgent = true;
        }
        let own_uptime_ms = now_ms.saturating_sub(self.fleet.started_ms);
        self.fleet.succession.record_member(name, report.uptime_ms, own_uptime_ms);
        self.fleet.set_store_reachable(name, report.status.is_reachable);
        let id: SourceId = (name.clone(), sender.incarnation);
        let MemberReport { is_full, uptime_ms, .. } = *report;
        let update = UsageUpdate { is_full, spent: &report.spent, uptime_ms };
        let gained = self.fleet.book.record_member(now_ms, &id, update);
        self.deduct(now_ms, &gained);
        let suspects =
            ReportedSuspects { instance: name.clone(), suspects: report.suspects.clone() };
        self.merge_suspects(now_ms, &[suspects], ReportKind::Member);
    }

    fn receive_cell(
        &mut self,
        now_ms: u64,
        sender: &Sender,
        envelope: &Envelope,
        report: CellReport,
        stands_by: bool,
    ) -> CellSource {
        self.fleet.roster.merge(now_ms, &report.instances);
        self.mark_leaving(&report.leaving);
        self.merge_suspects(now_ms, &report.suspects, ReportKind::Cell);
        self.merge_part_evidence(now_ms, &sender.instance, &report.parts);
        if !self.fleet.is_in_own_cell(&sender.instance) {
            return CellSource::Other;
        }
        self.fleet.set_store_reachable(&sender.instance, report.status.is_reachable);
        self.fleet.see_coordinator(SeenCoordinator {
            heard_ms: now_ms,
            is_ready: report.is_ready,
            known: report.known as usize,
            live: report.live as usize,
            name: sender.instance.clone(),
            reader: report.reader.clone(),
            stands_by,
            stopping: sender.stopping,
        });
        let is_followed =
            self.fleet.followed(now_ms).is_some_and(|seen| seen.name == sender.instance);
        if !is_followed || self.fleet.decider(now_ms) == Decider::Own {
            return CellSource::Other;
        }
        self.fleet.leaders =
            report.leaders.iter().map(|leader| (leader.cell as usize, leader.address)).collect();
        self.adopt_balances(now_ms, envelope, &report.left);
        for engine in &report.engines {
            self.backends.adopt_report(engine, !self.fleet.is_coordinating());
        }
        CellSource::Followed
    }

    fn receive_summary(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        sender: &Sender,
        summary: CellSummary,
    ) {
        self.fleet.roster.merge(now_ms, &summary.members);
        self.mark_leaving(&summary.leaving);
        self.merge_suspects(now_ms, &summary.suspects, ReportKind::Summary);
        self.merge_part_evidence(now_ms, &sender.instance, &summary.parts);
        let cell = summary.cell as usize;
        if cell == self.fleet.layout.own || cell >= self.fleet.layout.count() {
            return;
        }
        let id: SourceId = (sender.instance.clone(), sender.incarnation);
        let update =
            UsageUpdate { is_full: summary.is_full, spent: &summary.spent, uptime_ms: u64::MAX };
        let gained = self.fleet.book.record_cell(now_ms, cell, &id, update);
        self.deduct(now_ms, &gained);
        self.fleet.other_coordinators.retain(|other| other.name != sender.instance);
        if sender.stopping {
            return;
        }
        self.fleet.other_coordinators.push(OtherCoordinator {
            address: from,
            cell,
            free: summary.free,
            heard_ms: now_ms,
            is_first: summary.is_first,
            live: summary.live as usize,
            name: sender.instance.clone(),
        });
    }

    fn deduct(&mut self, now_ms: u64, gained: &[Spent]) {
        for entry in gained {
            self.limits.deduct(now_ms, &entry.customer, entry.units);
        }
    }

    /// Merges suspects, and passes those that are news on to those that the report does not reach.
    fn merge_suspects(&mut self, now_ms: u64, reported: &[ReportedSuspects], by: ReportKind) {
        for ReportedSuspects { instance, suspects } in reported {
            if *instance == self.fleet.own_name {
                continue;
            }
            let news = self.quarantine.merge(monotonic_now(now_ms), instance, suspects);
            let SuspectFeeds { cell, summary, .. } = &mut self.fleet.suspect_feeds;
            for suspect in &news {
                match by {
                    ReportKind::Cell => {
                        cell.add_told(now_ms, instance, suspect);
                        summary.add_told(now_ms, instance, suspect);
                    }
                    ReportKind::Member => {
                        cell.add_news(now_ms, instance, suspect);
                        summary.add_news(now_ms, instance, suspect);
                    }
                    ReportKind::Summary => cell.add_news(now_ms, instance, suspect),
                }
            }
        }
    }
}

impl Fleet {
    fn see_coordinator(&mut self, seen: SeenCoordinator) {
        self.seen.retain(|known| known.name != seen.name);
        let is_able = seen.is_ready || seen.stands_by;
        self.suspected.retain(|(name, _)| *name != seen.name || !is_able);
        self.seen.push(seen);
    }

    fn set_store_reachable(&mut self, name: &Name, is_reachable: bool) {
        match (self.store_unreachable.binary_search(name), is_reachable) {
            (Ok(index), true) => drop(self.store_unreachable.remove(index)),
            (Err(index), false) => self.store_unreachable.insert(index, name.clone()),
            _ => {}
        }
    }
}
