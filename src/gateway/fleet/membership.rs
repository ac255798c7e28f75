//! The own cell, and what this instance keeps to coordinate it.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::fleet::additions::PlaceNote;
use crate::gateway::fleet::cells::{CellLayout, cell_count, cell_of};
use crate::gateway::fleet::failed_paths::FailedPaths;
use crate::gateway::fleet::handover::Handover;
use crate::gateway::fleet::leases::Leases;
use crate::gateway::fleet::message::{AskedUsage, Body, FreePlaces};
use crate::gateway::fleet::roster::Roster;
use crate::gateway::fleet::succession::Succession;
use crate::gateway::fleet::suspect_feed::SuspectFeeds;
use crate::gateway::fleet::usage_book::UsageBook;
use crate::gateway::gateway_settings::GatewaySettings;
use crate::name::Name;

/// Body of a datagram and its receivers.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// Addresses of the receivers.
    pub to: Vec<SocketAddr>,
    /// The body.
    pub body: Body,
    /// What is added to it.
    pub note: PlaceNote,
}

/// A request that this instance has sent to a backend server and that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct OwnPlace {
    pub(crate) backend_server: Name,
    /// When the send began, in milliseconds of the boot clock.
    pub(crate) begun_ms: u64,
    /// Coordinator that granted the place.
    pub(crate) granted_by: Option<SocketAddr>,
    pub(crate) number: u64,
    pub(crate) unread_tokens: u64,
    /// Shared parts of its prompt, before the first event.
    pub(crate) unstarted_parts: Vec<u64>,
}

/// A request of another instance that waits here for a place.
#[derive(Clone, Debug)]
pub(crate) struct RemoteWaiting {
    pub(crate) address: SocketAddr,
    /// When it was last asked for, in milliseconds of the boot clock.
    pub(crate) asked_ms: u64,
    pub(crate) deadline_ms: u64,
    pub(crate) holder: Name,
    /// Number in the queue.
    pub(crate) number: u64,
    /// Number of the place at its holder.
    pub(crate) place: u64,
    pub(crate) service: Name,
    /// Units taken from a customer's limit, which come back if it is not granted a place.
    pub(crate) usage: Option<AskedUsage>,
}

/// What a coordinator of the own cell reported last.
#[derive(Clone, Debug)]
pub(crate) struct SeenCoordinator {
    pub(crate) heard_ms: u64,
    pub(crate) is_ready: bool,
    pub(crate) known: usize,
    pub(crate) live: usize,
    pub(crate) name: Name,
    pub(crate) reader: Option<Name>,
    /// Whether it could lead and lets another one do so.
    pub(crate) stands_by: bool,
    pub(crate) stopping: bool,
}

/// What a coordinator of another cell reported last.
#[derive(Clone, Debug)]
pub(crate) struct OtherCoordinator {
    pub(crate) address: SocketAddr,
    pub(crate) cell: usize,
    pub(crate) free: Vec<FreePlaces>,
    pub(crate) heard_ms: u64,
    pub(crate) is_first: bool,
    pub(crate) live: usize,
    pub(crate) name: Name,
}

/// Units that this instance had spent when it sent a report.
#[derive(Clone, Debug)]
pub(crate) struct SentUsage {
    pub(crate) sent_ms: u64,
    pub(crate) spent: Vec<(Name, u64)>,
}

/// The fleet as this instance sees it.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// When the cells were last calculated, in milliseconds of the boot clock.
    pub(crate) arranged_ms: u64,
    pub(crate) book: UsageBook,
    pub(crate) capacity: u32,
    /// Addresses of the other members of the own cell, including those that are stopping.
    pub(crate) cell_addresses: Vec<SocketAddr>,
    pub(crate) coordinating_since_ms: Option<u64>,
    /// Since when this instance decides on the places of its cell, in milliseconds of the boot clock.
    pub(crate) deciding_since_ms: Option<u64>,
    /// Paths of this instance, and of those to which it grants places, that failed lately.
    pub(crate) failed_paths: FailedPaths,
    pub(crate) handover: Handover,
    /// Whether something changed that is sent at once.
    pub(crate) is_urgent: bool,
    pub(crate) layout: CellLayout,
    /// Coordinators of other cells as the own coordinator names them.
    pub(crate) leaders: Vec<(usize, SocketAddr)>,
    pub(crate) leases: Leases,
    /// Whether the roster changed since the cells were calculated.
    pub(crate) needs_arranging: bool,
    pub(crate) next_place: u64,
    pub(crate) other_coordinators: Vec<OtherCoordinator>,
    pub(crate) outbox: Vec<Outgoing>,
    pub(crate) own_name: Name,
    pub(crate) own_places: Vec<OwnPlace>,
    /// Members of the own cell by rank, this instance included.
    pub(crate) ranked: Vec<Name>,
    pub(crate) remote_waiting: Vec<RemoteWaiting>,
    /// Receivers of the last report of this instance as a member.
    pub(crate) report_targets: Vec<SocketAddr>,
    pub(crate) roster: Roster,
    pub(crate) schedule: Schedule,
    pub(crate) seen: Vec<SeenCoordinator>,
    pub(crate) sent_usage: Vec<SentUsage>,
    pub(crate) started_ms: u64,
    /// Members of the cell that the store does not answer, sorted.
    pub(crate) store_unreachable: Vec<Name>,
    pub(crate) succession: Succession,
    pub(crate) suspect_feeds: SuspectFeeds,
    /// Coordinators that left requests unanswered, and until when they are passed over.
    pub(crate) suspected: Vec<(Name, u64)>,
    /// When the last tick was, in milliseconds of the boot clock.
    pub(crate) ticked_ms: u64,
    pub(crate) stopping: bool,
}

/// When reports were last sent, in milliseconds of the boot clock, and their numbers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Schedule {
    pub(crate) cell_number: u64,
    pub(crate) cell_sent_ms: u64,
    pub(crate) member_number: u64,
    pub(crate) member_sent_ms: u64,
    pub(crate) summary_number: u64,
    pub(crate) summary_sent_ms: u64,
}

impl Fleet {
    /// Returns a fleet of this instance alone.
    pub fn new(settings: &GatewaySettings, now_ms: u64, incarnation: u64) -> Self {
        let own_name = settings.instance.clone();
        Self {
            arranged_ms: 0,
            book: UsageBook::default(),
            capacity: settings.capacity,
            cell_addresses: Vec::new(),
            coordinating_since_ms: None,
            deciding_since_ms: None,
            failed_paths: FailedPaths::default(),
            handover: Handover::default(),
            is_urgent: false,
            layout: CellLayout::default(),
            leaders: Vec::new(),
            leases: Leases::default(),
            needs_arranging: true,
            // Numbers of an earlier start can't be mistaken for those of this one.
            next_place: incarnation & 0xffff_ffff_0000_0000,
            other_coordinators: Vec::new(),
            outbox: Vec::new(),
            own_places: Vec::new(),
            ranked: vec![own_name.clone()],
            remote_waiting: Vec::new(),
            report_targets: Vec::new(),
            roster: Roster::new(own_name.clone(), settings.peer_address, &settings.seeds),
            own_name,
            schedule: Schedule::default(),
            seen: Vec::new(),
            sent_usage: Vec::new(),
            started_ms: now_ms,
            store_unreachable: Vec::new(),
            succession: Succession::default(),
            suspect_feeds: SuspectFeeds::default(),
            suspected: Vec::new(),
            ticked_ms: now_ms,
            stopping: false,
        }
    }

    /// Returns the cells.
    pub fn layout(&self) -> &CellLayout {
        &self.layout
    }

    /// Returns the list of known instances.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns the number of places granted to other instances.
    pub fn lease_count(&self) -> usize {
        self.leases.len()
    }

    /// Removes and returns the datagrams to send.
    pub fn take_outbox(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outbox)
    }

    pub(crate) fn send(&mut self, to: SocketAddr, body: Body) {
        self.send_with_note(to, body, PlaceNote::default());
    }

    pub(crate) fn send_with_note(&mut self, to: SocketAddr, body: Body, note: PlaceNote) {
        self.outbox.push(Outgoing { to: vec![to], body, note });
    }

    pub(crate) fn send_to_all(&mut self, to: Vec<SocketAddr>, body: Body) {
        self.outbox.push(Outgoing { to, body, note: PlaceNote::default() });
    }

    pub(crate) fn new_place_number(&mut self) -> u64 {
        self.next_place += 1;
        self.next_place
    }

    /// Returns whether this instance knows of no other one.
    pub(crate) fn is_alone(&self) -> bool {
        self.roster.count() == 1
    }

    /// Recalculates the cells and the ranks in the own cell from the roster.
    pub(crate) fn arrange(&mut self, now_ms: u64) {
        self.needs_arranging = false;
        self.arranged_ms = now_ms;
        self.roster.expire(now_ms);
        // Instances that stop count until they expire, so that a rolling replacement, in which they
        // start again, moves no other instance and no backend server to another cell.
        let cells = cell_count(self.roster.iter().count() + 1);
        let own = cell_of(&self.own_name, cells);
        let mut sizes = vec![0; cells];
        sizes[own] += 1;
        let mut members = vec![(self.capacity, self.own_name.clone())];
        self.cell_addresses.clear();
        for known in self.roster.iter() {
            let cell = cell_of(&known.name, cells);
            if cell == own {
                self.cell_addresses.push(known.address);
            }
            sizes[cell] += 1;
            if cell == own && !known.stopping {
                members.push((known.capacity, known.name.clone()));
            }
        }
        members.sort_by_cached_key(|(capacity, name)| {
            (u32::MAX - capacity, xxh3_64(name.as_bytes()), name.clone())
        });
        self.ranked = members.into_iter().map(|(_, name)| name).collect();
        self.layout = CellLayout { own, sizes };
        self.suspected.retain(|(_, until_ms)| now_ms < *until_ms);
        self.store_unreachable.retain(|name| self.roster.get(name).is_some());
    }

    /// Returns whether another instance is in the own cell.
    pub fn is_in_own_cell(&self, name: &str) -> bool {
        cell_of(name, self.layout.count()) == self.layout.own
    }
}
