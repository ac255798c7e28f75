//! Hands over what a coordinator knows to those that follow it: what is left of the limits, and the
//! requests that wait.
//!
//! The load it answers: coordinators that are stopped and started one after the other under a full
//! load. One that starts asks the leader for what is left of all limits and gets it in a few
//! datagrams; without it, it would begin with empty buckets and refuse customers that are far below
//! their limits. What members run they report themselves, at once, to each new coordinator.

use std::net::SocketAddr;

use crate::gateway::fleet::additions::{Additions, HandoverNote, UsagePart};
use crate::gateway::fleet::coordinators::Decider;
use crate::gateway::fleet::message::{
    Body, Envelope, Message, PlaceAnswer, PlaceVerdict, Sender, UnitsLeft,
};
use crate::gateway::state::GatewayState;
use crate::name::Name;

/// Customers in one datagram.
const PART_CUSTOMERS: usize = 400;
/// Shortest time between two lists for the same instance, in milliseconds.
const LIST_INTERVAL_MS: u64 = 200;

/// Lists of what is left of the limits that are sent and received, and requests that another
/// instance is to be asked for.
#[derive(Clone, Debug, Default)]
pub(crate) struct Handover {
    /// Number of the list that is being received, its sender and the parts that are missing.
    receiving: Option<(u64, Name, Vec<u32>)>,
    /// Numbers of the own requests that no longer wait here.
    moved: Vec<u64>,
    next_number: u64,
    /// Instances that were sent a list, and when, in milliseconds of the boot clock.
    told: Vec<(Name, u64)>,
    /// Instances to be sent a list.
    wanting: Vec<SocketAddr>,
}

impl Handover {
    /// Removes and returns the numbers of the own requests that no longer wait here.
    pub(crate) fn take_moved(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.moved)
    }

    /// Records that an instance asks for a list.
    fn record_wish(&mut self, now_ms: u64, name: &Name, address: SocketAddr) {
        self.told.retain(|(_, told_ms)| now_ms < told_ms + LIST_INTERVAL_MS);
        if self.told.iter().all(|(told, _)| told != name) {
            self.told.push((name.clone(), now_ms));
            self.wanting.push(address);
        }
    }

    /// Records a part of a list; returns whether all parts have arrived.
    fn record_part(&mut self, from: &Name, part: &UsagePart) -> bool {
        let is_known = matches!(&self.receiving, Some((number, sender, _))
            if *number == part.number && sender == from);
        if !is_known {
            let missing = (0..part.count.min(u32::from(u16::MAX))).collect();
            self.receiving = Some((part.number, from.clone(), missing));
        }
        let Some((_, _, missing)) = &mut self.receiving else { return false };
        missing.retain(|index| *index != part.index);
        missing.is_empty()
    }
}

impl GatewayState {
    /// Returns what this instance says in its reports about the lead of its cell.
    pub(crate) fn handover_note(&self, now_ms: u64) -> Option<HandoverNote> {
        let note = HandoverNote {
            stands_by: self.fleet.stands_by(now_ms),
            wants_balances: self.limits.has_limits() && self.fleet.wants_balances(),
        };
        (note != HandoverNote::default()).then_some(note)
    }

    /// Takes what another instance of the cell says about its lead.
    pub(crate) fn receive_handover(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        sender: &Sender,
        envelope: &Envelope,
        additions: &Additions,
    ) {
        let name = &sender.instance;
        if !self.fleet.is_in_own_cell(name) {
            return;
        }
        let decides = self.fleet.decider(now_ms) == Decider::Own;
        if additions.handover.is_some_and(|note| note.wants_balances) && decides {
            self.fleet.handover.record_wish(now_ms, name, from);
        }
        let Some(part) = &additions.usage else { return };
        let is_followed = self.fleet.followed(now_ms).is_some_and(|seen| seen.name == *name);
        if decides || !is_followed {
            return;
        }
        self.adopt_balances(now_ms, envelope, &part.left);
        if self.fleet.handover.record_part(name, part) {
            self.fleet.succession.knows_balances = true;
        }
    }

    /// Adopts what a coordinator says is left of limits.
    pub(crate) fn adopt_balances(
        &mut self,
        now_ms: u64,
        envelope: &Envelope,
        balances: &[UnitsLeft],
    ) {
        let acknowledged = self.fleet.acknowledged_usage(envelope.echoed_sent_ms);
        for left in balances {
            let spent = acknowledged.as_ref().map(|usage| usage.get(&left.customer));
            self.limits.adopt(now_ms, &left.customer, left.units, spent);
        }
    }

    /// Removes and returns the lists of what is left of the limits that are to be sent, in parts.
    pub fn take_usage_parts(&mut self, now_ms: u64) -> Vec<(SocketAddr, Message)> {
        let wanting = std::mem::take(&mut self.fleet.handover.wanting);
        if wanting.is_empty() {
            return Vec::new();
        }
        let left = self.limits.left_since(now_ms, 0).into_iter();
        let left: Vec<_> = left.map(|(customer, units)| UnitsLeft { customer, units }).collect();
        self.fleet.handover.next_number += 1;
        let number = self.fleet.handover.next_number;
        let count = left.len().div_ceil(PART_CUSTOMERS) as u32;
        let parts = left.chunks(PART_CUSTOMERS).enumerate().map(|(index, left)| UsagePart {
            count,
            index: index as u32,
            left: left.to_vec(),
            number,
        });
        let messages = parts.map(|part| Message {
            sender: self.sender(now_ms),
            // An empty list of instances, which says nothing by itself.
            body: Body::Roster(Vec::new()),
            additions: Additions { usage: Some(part), ..Additions::default() },
        });
        let messages: Vec<_> = messages.collect();
        let to_each = |to: SocketAddr| messages.iter().map(move |part| (to, part.clone()));
        wanting.into_iter().flat_map(to_each).collect()
    }

    /// Has all requests that wait here ask the instance that decides now.
    pub(crate) fn hand_over_queue(&mut self) {
        for waiting in std::mem::take(&mut self.fleet.remote_waiting) {
            let answer =
                PlaceAnswer { number: waiting.place, verdict: PlaceVerdict::NotCoordinating };
            self.fleet.send(waiting.address, Body::Answer(answer));
            self.drop_remote_waiting(waiting);
        }
        for (_, queue) in &mut self.queues {
            self.fleet.handover.moved.extend(queue.take_numbers());
        }
    }
}
