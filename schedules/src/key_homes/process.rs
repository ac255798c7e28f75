//! One process of the fleet, and how the fleet applies its effects and delivers its packets.

use bergamotspan::home_rules::HomeRules;
use bergamotspan::key_handover::{HandoverSettings, KeyHandover, KeySeal};
use bergamotspan::key_home::KeyHome;
use bergamotspan::key_home_builder::KeyHomeBuilder;
use bergamotspan::membership::Membership;
use bergamotspan::membership_builder::MembershipBuilder;
use bergamotspan::membership_event::{MembershipEffect, MembershipEvent};
use bergamotspan::name::Name;
use bergamotspan::now::Now;
use bergamotspan::peer_message::{KeyClaim, KeyVerdict, PeerMessage};
use bergamotspan::request_id::RequestId;
use bergamotspan::view::View;

use rand::RngExt;

use super::network::Packet;
use super::{CLOCK_MARGIN_MS, Fleet, GRANT_LIMIT_MS, INTERVAL_MS, LIFETIME_MS, WINDOW_MS};

/// One process, as a receiver of requests and as a home of keys.
pub struct Process {
    /// Claims without a verdict, with the time at which they were sent, in milliseconds.
    pub pending_claims: Vec<(RequestId, u64)>,
    pub handover: KeyHandover,
    pub home: KeyHome,
    pub incarnation: u64,
    pub membership: Membership,
    pub name: Name,
    pub paused_until_ms: u64,
    sequence: u64,
    wall_clock_offset_ms: u64,
    started_ms: u64,
}

impl Process {
    pub fn start(
        name: Name,
        incarnation: u64,
        wall_clock_offset_ms: u64,
        now_ms: u64,
        view: View,
        rules: HomeRules,
    ) -> Self {
        let now = Now { monotonic_ms: 0, wall_clock_ms: now_ms + wall_clock_offset_ms };
        let settings = HandoverSettings {
            clock_margin_ms: CLOCK_MARGIN_MS,
            confirmation_window_ms: WINDOW_MS,
            incarnation,
            part_limit_records: 1,
            rules,
        };
        let handover = KeyHandover::start(settings, now, view.clone());
        let membership = MembershipBuilder::new(incarnation)
            .clock_margin_ms(CLOCK_MARGIN_MS)
            .confirmation_window_ms(WINDOW_MS)
            .heartbeat_interval_ms(INTERVAL_MS)
            .key_lifetime_ms(LIFETIME_MS)
            .rules(rules)
            .build(now, view);
        let home = KeyHomeBuilder::default()
            .clock_margin_ms(CLOCK_MARGIN_MS)
            .lifetime_ms(LIFETIME_MS)
            .rules(rules)
            .build();
        let pending_claims = Vec::new();
        let (paused_until_ms, sequence, started_ms) = (0, 0, now_ms);
        Self {
            pending_claims,
            handover,
            home,
            incarnation,
            membership,
            name,
            paused_until_ms,
            sequence,
            wall_clock_offset_ms,
            started_ms,
        }
    }

    pub fn next_request(&mut self) -> RequestId {
        self.sequence += 1;
        let (instance, incarnation) = (self.name.clone(), self.incarnation);
        RequestId { instance, incarnation, sequence: self.sequence }
    }

    pub fn now(&self, now_ms: u64) -> Now {
        Now {
            monotonic_ms: now_ms - self.started_ms,
            wall_clock_ms: now_ms + self.wall_clock_offset_ms,
        }
    }

    fn answer(&mut self, now_ms: u64, claim: &KeyClaim) -> KeyVerdict {
        let now = self.now(now_ms);
        let eligibility = self.membership.eligibility(now);
        let view = self.membership.view();
        let is_home = view.home(&claim.key) == self.name;
        let covered_from_ms = self.handover.covered_from_ms(&claim.key);
        let list_version = view.list_version();
        self.home.claim_covered(now, claim, &eligibility, is_home, list_version, covered_from_ms)
    }
}

impl Fleet {
    pub fn apply(&mut self, name: &Name, effects: Vec<MembershipEffect>) {
        for effect in effects {
            match effect {
                MembershipEffect::Send { message, to } => {
                    self.send(name, &to, Packet::Peer(message));
                }
                MembershipEffect::ListAhead { peer, version } => {
                    self.fetch_list(name, &peer, version);
                }
                _ => {}
            }
        }
    }

    fn fetch_list(&mut self, name: &Name, peer: &Name, version: u64) {
        if !self.rng.random_bool(self.faults.fetch_failure) {
            self.send(peer, name, Packet::List(version));
        }
    }

    pub fn receive(&mut self, from: &Name, to: &Name, packet: Packet) {
        let from = from.clone();
        match packet {
            Packet::List(version) => self.adopt(to, version),
            Packet::Peer(PeerMessage::Confirmation(confirmation)) => {
                self.decide(to, MembershipEvent::Confirmation { confirmation, from });
            }
            Packet::Peer(PeerMessage::Heartbeat(heartbeat)) => {
                let process = self.processes.get_mut(to).unwrap();
                process.handover.hear(&from, heartbeat.incarnation);
                self.decide(to, MembershipEvent::Heartbeat { from, heartbeat });
            }
            Packet::Peer(PeerMessage::KeyClaim(claim)) => self.receive_claim(&from, to, &claim),
            Packet::Peer(PeerMessage::KeyHandover(records)) => {
                let process = self.processes.get_mut(to).unwrap();
                process.home.accept_handover(process.now(self.now_ms), records);
            }
            Packet::Peer(PeerMessage::KeyRelease { key, request }) => {
                self.receive_release(to, key, request);
            }
            Packet::Peer(PeerMessage::KeyVerdict { key, request, verdict }) => {
                self.receive_verdict(&from, to, key, request, &verdict);
            }
            Packet::Peer(PeerMessage::KeySeal(seal)) => {
                let process = self.processes.get_mut(to).unwrap();
                let now = process.now(self.now_ms);
                process.handover.receive(now, &from, seal, &mut process.home);
            }
            Packet::Peer(_) => {}
        }
    }

    /// Sends the seals that are due; now and then a link counts as new, so that they are repeated.
    pub fn send_seals(&mut self, name: &Name) {
        let renewed = self.random_running().filter(|_| self.rng.random_bool(0.05));
        let Some(process) = self.processes.get_mut(name) else { return };
        if process.paused_until_ms > self.now_ms {
            return;
        }
        if let Some(peer) = renewed {
            process.handover.link_up(&peer);
        }
        let now = process.now(self.now_ms);
        process.handover.observe(&process.membership.eligibility(now));
        let retired_version = process.membership.retired_version();
        let seals = process.handover.due_seals(retired_version, &process.home, |_| true);
        self.send_parts(name, seals);
    }

    pub fn send_parts(&mut self, name: &Name, seals: Vec<(Name, KeySeal)>) {
        for (to, seal) in seals {
            self.send(name, &to, Packet::Peer(PeerMessage::KeySeal(seal)));
        }
    }

    fn receive_release(&mut self, to: &Name, key: Name, request: RequestId) {
        let process = self.processes.get_mut(to).unwrap();
        let was_held = process.home.release(&key, &request);
        let home = process.membership.view().home(&key);
        if was_held && home != *to {
            self.send(to, &home, Packet::Peer(PeerMessage::KeyRelease { key, request }));
        }
    }

    fn receive_claim(&mut self, from: &Name, to: &Name, claim: &KeyClaim) {
        let verdict = self.processes.get_mut(to).unwrap().answer(self.now_ms, claim);
        let (key, request) = (claim.key.clone(), claim.request.clone());
        let message = PeerMessage::KeyVerdict { key, request, verdict };
        self.send(to, from, Packet::Peer(message));
    }

    /// Records a grant that arrived in time, and releases the key of a late one.
    fn receive_verdict(
        &mut self,
        from: &Name,
        to: &Name,
        key: Name,
        request: RequestId,
        verdict: &KeyVerdict,
    ) {
        let process = self.processes.get_mut(to).unwrap();
        let Some(index) =
            process.pending_claims.iter().position(|(pending, _)| *pending == request)
        else {
            return;
        };
        let (_, claimed_ms) = process.pending_claims.swap_remove(index);
        if *verdict != KeyVerdict::Granted {
            return;
        }
        if self.now_ms - claimed_ms > GRANT_LIMIT_MS {
            let message = PeerMessage::KeyRelease { key, request };
            self.send(to, from, Packet::Peer(message));
            return;
        }
        self.grants.entry(key).or_default().push(request);
    }
}
