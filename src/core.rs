//! The decision core of one instance, which makes all of its decisions.
//!
//! The core holds no clock, socket, thread or unseeded randomness. An adapter passes each event to
//! it with the time, and carries out the effects that it returns.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::config_adoption::ConfigAdoption;
use crate::config_event::ConfigEvent;
use crate::effect::Effect;
use crate::event::Event;
use crate::inventory::Inventory;
use crate::key_handover::KeyHandover;
use crate::key_home::KeyHome;
use crate::key_lookup::KeyLookup;
use crate::membership::Membership;
use crate::membership_event::{HeartbeatSummary, MembershipEvent};
use crate::name::Name;
use crate::now::Now;
use crate::peer_message::PeerMessage;
use crate::quarantine::Quarantine;
use crate::request_id::RequestId;
use crate::requests::Requests;
use crate::scheduler::{Scheduler, SchedulerEvent};
use crate::settings::Settings;
use crate::status_report::RefusedDocument;
use crate::view::View;

/// Time between two sweeps over requests, schedulers and expired state, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 20;

/// The decision core of one instance.
pub struct Core {
    pub(crate) adoption: ConfigAdoption,
    pub(crate) cell_inventory: Arc<Inventory>,
    pub(crate) last_event_ms: u64,
    pub(crate) effects: Vec<Effect>,
    pub(crate) incarnation: u64,
    pub(crate) inventory: Arc<Inventory>,
    pub(crate) key_handover: KeyHandover,
    pub(crate) key_home: KeyHome,
    pub(crate) key_lookups: BTreeMap<u64, KeyLookup>,
    pub(crate) leaving: Vec<Name>,
    pub(crate) linked_peers: Vec<(Name, SocketAddr)>,
    pub(crate) membership: Membership,
    pub(crate) peer_versions: Vec<(Name, u64, u64)>,
    pub(crate) quarantine: Quarantine,
    pub(crate) quarantined: Vec<u64>,
    pub(crate) refused_document: Option<RefusedDocument>,
    pub(crate) renewed_links: Vec<Name>,
    pub(crate) requests: Requests,
    /// Linked peers that take seals of key homes, sorted.
    pub(crate) seal_takers: Vec<Name>,
    pub(crate) schedulers: Vec<(Name, Box<dyn Scheduler>)>,
    pub(crate) settings: Arc<Settings>,
    pub(crate) stop: Option<StopState>,
    pub(crate) stopping_peers: Vec<Name>,
    pub(crate) suspected: Vec<u64>,
    pub(crate) next_idle_check_ms: u64,
    pub(crate) next_sweep_ms: u64,
    pub(crate) view: View,
}

/// State of a planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct StopState {
    /// Monotonic time before which the stop does not end, in milliseconds.
    pub earliest_ms: u64,
    /// Monotonic time at which the remaining requests are ended, in milliseconds.
    pub limit_ms: u64,
    /// Whether the end was reported.
    pub reported: bool,
}

impl Core {
    /// Applies one event and returns the effects to carry out.
    pub fn decide(&mut self, now: Now, event: Event) -> Vec<Effect> {
        self.detect_pause(now);
        match event {
            Event::Arrived(arrival) => self.admit(now, *arrival),
            Event::CacheEvents { backend_server, events, service } => {
                let event = SchedulerEvent::CacheEvents { backend_server, events };
                self.send_to_scheduler(now, &service, event);
            }
            Event::CallerGone { sequence } => self.cancel(now, sequence),
            Event::CancelRequested { holder, key, sequence } => {
                self.cancel_key(now, sequence, key, holder.as_deref());
            }
            Event::Dispatch { progress, sequence } => self.apply_progress(now, sequence, progress),
            Event::DocumentRead { document, parsed, peer } => {
                self.apply_document(now, parsed, peer, document);
            }
            Event::InstanceListRead { leaving } => self.apply_instance_list(now, leaving),
            Event::JoinRequested { holder, key, sequence } => {
                self.join(now, sequence, key, holder.as_deref());
            }
            Event::LoadReport { backend_server, report, service } => {
                let event = SchedulerEvent::LoadReport { backend_server, report };
                self.send_to_scheduler(now, &service, event);
            }
            Event::PeerDown { peer } => self.link_down(now, peer),
            Event::PeerMessage { peer, .. } if self.is_outdated(&peer) => {}
            Event::PeerMessage { peer, message, .. } => self.receive_message(now, peer, message),
            Event::PeerUp { key_seals, peer, .. } => self.link_up(now, &peer, key_seals),
            Event::PlatformUnreachable => {
                self.apply_config_event(now, ConfigEvent::PlatformUnreachable)
            }
            Event::Stop => self.begin_stop(now),
            Event::Tick => self.tick(now),
        }
        std::mem::take(&mut self.effects)
    }

    /// Returns whether the instance accepts requests.
    pub fn is_ready(&self) -> bool {
        self.adoption.is_ready() && self.stop.is_none() && !self.is_leaving(&self.own_name())
    }

    /// Returns whether the instance list marks an instance or a backend server as leaving.
    pub(crate) fn is_leaving(&self, name: &Name) -> bool {
        self.leaving.binary_search(name).is_ok()
    }

    pub(crate) fn log<S>(&mut self, part: &'static str, text: S)
    where
        S: Into<String>,
    {
        self.effects.push(Effect::Log { part, text: text.into() });
    }

    pub(crate) fn own_name(&self) -> Name {
        self.settings.instance.name.clone()
    }

    pub(crate) fn request_id(&self, sequence: u64) -> RequestId {
        RequestId { instance: self.own_name(), incarnation: self.incarnation, sequence }
    }

    pub(crate) fn send(&mut self, to: &Name, message: PeerMessage) {
        self.effects.push(Effect::SendPeer { message, to: to.clone() });
    }

    pub(crate) fn apply_membership_event(&mut self, now: Now, event: MembershipEvent) {
        let effects = self.membership.decide(now, event);
        for effect in effects {
            self.apply_membership_effect(now, effect);
        }
    }

    fn heartbeat_summary(&self) -> HeartbeatSummary {
        let lowest_waiting_ranks = self
            .schedulers
            .iter()
            .filter_map(|(service, scheduler)| {
                Some((service.clone(), scheduler.lowest_waiting_rank()?))
            })
            .collect();
        HeartbeatSummary {
            config_version: self.inventory.version,
            lowest_waiting_ranks,
            stopping: self.stop.is_some(),
            suspects: self.quarantine.suspects(),
        }
    }

    fn tick(&mut self, now: Now) {
        let summary = self.heartbeat_summary();
        self.apply_membership_event(now, MembershipEvent::Tick { summary });
        self.apply_config_event(now, ConfigEvent::Tick);
        if now.monotonic_ms < self.next_sweep_ms {
            return;
        }
        self.next_sweep_ms = now.monotonic_ms + SWEEP_INTERVAL_MS;
        self.refresh_quarantine(now);
        self.tick_schedulers(now);
        self.end_former_coordinators(now);
        self.sweep_requests(now);
        self.key_home.expire(now);
        self.send_seals(now);
        self.expire_lookups(now);
        self.unlink_former_members();
        self.continue_stop(now);
    }
}
