//! Passes messages of other instances, and decisions of membership, to the parts of the core.

use crate::config_event::ConfigEvent;
use crate::core::Core;
use crate::membership_event::{MembershipEffect, MembershipEvent};
use crate::name::Name;
use crate::now::Now;
use crate::peer_message::{Heartbeat, PeerMessage};
use crate::scheduler::SchedulerEvent;

impl Core {
    /// Applies a message of another instance.
    pub(crate) fn receive_message(&mut self, now: Now, peer: Name, message: PeerMessage) {
        match message {
            PeerMessage::GrantRequest(grant_request) => {
                let service = grant_request.service.clone();
                self.send_to_scheduler(now, &service, SchedulerEvent::GrantRequest(grant_request));
            }
            PeerMessage::ConfigDocument { text, version } => {
                self.receive_peer_document(now, peer, text, version);
            }
            PeerMessage::ConfigFetch { have_version } => {
                self.send_newer_document(&peer, have_version)
            }
            PeerMessage::Confirmation(confirmation) => {
                self.apply_membership_event(
                    now,
                    MembershipEvent::Confirmation { from: peer, confirmation },
                );
            }
            PeerMessage::Grant(grant) => self.receive_grant(now, &peer, grant),
            PeerMessage::Heartbeat(heartbeat) => self.receive_heartbeat(now, peer, heartbeat),
            PeerMessage::KeyClaim(claim) => {
                let verdict = self.answer_claim(now, &claim);
                let (key, request) = (claim.key, claim.request);
                self.send(&peer, PeerMessage::KeyVerdict { key, request, verdict });
            }
            PeerMessage::KeyHandover(records) => self.key_home.accept_handover(now, records),
            PeerMessage::KeyHolder { holder, key, sequence } => {
                self.receive_holder(sequence, &key, holder);
            }
            PeerMessage::KeyQuery { key, sequence } => {
                let holder = self.key_home.holder(&key);
                self.send(&peer, PeerMessage::KeyHolder { holder, key, sequence });
            }
            PeerMessage::KeyRelease { key, request } => self.receive_release(key, request),
            PeerMessage::KeySeal(seal) => {
                self.key_handover.receive(now, &peer, seal, &mut self.key_home);
            }
            PeerMessage::KeyVerdict { key, request, verdict } => {
                if request == self.request_id(request.sequence) {
                    self.receive_verdict(now, &peer, &key, request.sequence, verdict);
                }
            }
            PeerMessage::Progress { progress, request, service } => {
                self.send_to_scheduler(
                    now,
                    &service,
                    SchedulerEvent::Progress { progress, request },
                );
            }
            PeerMessage::Refusal(refusal) => self.receive_refusal(now, refusal),
            PeerMessage::Running(running) => {
                let service = running.grant_request.service.clone();
                self.send_to_scheduler(now, &service, SchedulerEvent::Running(running));
            }
            PeerMessage::Suspects(suspects) => {
                self.quarantine.merge(now, &peer, &suspects);
                self.refresh_quarantine(now);
            }
            PeerMessage::Withdraw { request, service } => {
                self.send_to_scheduler(now, &service, SchedulerEvent::Withdraw { request });
            }
        }
    }

    /// Applies an effect of the membership decision.
    pub(crate) fn apply_membership_effect(&mut self, now: Now, effect: MembershipEffect) {
        match effect {
            MembershipEffect::ConfigAhead { peer, version } => {
                self.apply_config_event(now, ConfigEvent::PeerVersion { peer, version });
            }
            MembershipEffect::ListAhead { peer, .. } => {
                self.log("peer", format!("Instance {peer} has a newer instance list."));
            }
            MembershipEffect::PeerLive { peer, .. } => {
                self.log("peer", format!("Instance {peer} is live."));
                self.assign_coordinators(now);
                self.move_grant_requests(now, Some(&peer));
            }
            MembershipEffect::PeerLost { peer } => self.mark_peer_lost(now, &peer),
            MembershipEffect::Send { to, message } => self.send(&to, message),
        }
    }

    pub(crate) fn link_down(&mut self, now: Now, peer: Name) {
        self.apply_config_event(now, ConfigEvent::PeerDown { peer: peer.clone() });
        self.apply_membership_event(now, MembershipEvent::LinkLost { peer });
    }

    /// Sends grant requests again on a new link, since those sent before may be lost.
    pub(crate) fn link_up(&mut self, now: Now, peer: &Name, key_seals: bool) {
        self.accept_new_link(peer);
        self.set_seal_taker(peer, key_seals);
        self.move_grant_requests(now, Some(peer));
    }

    /// Returns the configuration version and incarnation in the last heartbeat of a peer.
    pub(crate) fn peer_versions(&self, peer: &Name) -> (u64, u64) {
        match self.peer_versions.binary_search_by(|(name, _, _)| name.cmp(peer)) {
            Ok(index) => (self.peer_versions[index].1, self.peer_versions[index].2),
            Err(_) => (0, 0),
        }
    }

    fn record_peer_versions(&mut self, peer: &Name, config_version: u64, incarnation: u64) {
        let entry = (peer.clone(), config_version, incarnation);
        match self.peer_versions.binary_search_by(|(name, _, _)| name.cmp(peer)) {
            Ok(index) => self.peer_versions[index] = entry,
            Err(index) => self.peer_versions.insert(index, entry),
        }
    }

    fn mark_peer_lost(&mut self, now: Now, peer: &Name) {
        self.log("peer", format!("Instance {peer} is lost."));
        self.stopping_peers.retain(|name| name != peer);
        let event = SchedulerEvent::InstanceLost { instance: peer.clone() };
        self.send_to_schedulers(now, &event);
        self.assign_coordinators(now);
        self.move_grant_requests(now, None);
    }

    fn receive_heartbeat(&mut self, now: Now, peer: Name, heartbeat: Heartbeat) {
        let stopping = heartbeat.stopping;
        let version = heartbeat.config_version;
        self.record_peer_versions(&peer, version, heartbeat.incarnation);
        self.key_handover.hear(&peer, heartbeat.incarnation);
        self.apply_config_event(now, ConfigEvent::PeerVersion { peer: peer.clone(), version });
        if !heartbeat.suspects.is_empty() {
            self.quarantine.merge(now, &peer, &heartbeat.suspects);
        }
        self.apply_membership_event(
            now,
            MembershipEvent::Heartbeat { from: peer.clone(), heartbeat },
        );
        match (self.stopping_peers.binary_search(&peer), stopping) {
            (Err(index), true) => self.stopping_peers.insert(index, peer),
            (Ok(index), false) => {
                self.stopping_peers.remove(index);
            }
            _ => return,
        }
        self.assign_coordinators(now);
        self.move_grant_requests(now, None);
    }
}
