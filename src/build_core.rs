//! Builds the decision core from the settings.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::config_adoption::ConfigAdoption;
use crate::core::Core;
use crate::hand_over_keys::HANDOVER_LIMIT_RECORDS;
use crate::home_rules::HomeRules;
use crate::inventory::Inventory;
use crate::key_handover::{HandoverSettings, KeyHandover};
use crate::key_home::KeyHome;
use crate::key_home_builder::KeyHomeBuilder;
use crate::membership::Membership;
use crate::membership_builder::MembershipBuilder;
use crate::now::Now;
use crate::quarantine::Quarantine;
use crate::requests::Requests;
use crate::settings::Settings;
use crate::view::View;

/// Builds the decision core of one incarnation of an instance.
pub fn build_core(settings: Arc<Settings>, incarnation: u64, now: Now) -> Core {
    let inventory = Arc::new(Inventory::default());
    let view = View::from_inventory(&inventory, settings.instance.name.clone());
    let key_home = build_key_home(&settings, &inventory);
    Core {
        adoption: ConfigAdoption::new(settings.instance.name.clone()),
        cell_inventory: inventory.clone(),
        last_event_ms: now.monotonic_ms,
        effects: Vec::new(),
        incarnation,
        inventory,
        key_handover: build_key_handover(&settings, incarnation, now, view.clone()),
        key_home,
        key_lookups: BTreeMap::new(),
        leaving: Vec::new(),
        linked_peers: Vec::new(),
        membership: build_membership(&settings, incarnation, now, view.clone()),
        peer_versions: Vec::new(),
        quarantine: Quarantine::default(),
        quarantined: Vec::new(),
        refused_document: None,
        renewed_links: Vec::new(),
        requests: Requests::default(),
        seal_takers: Vec::new(),
        schedulers: Vec::new(),
        settings,
        stop: None,
        stopping_peers: Vec::new(),
        suspected: Vec::new(),
        next_idle_check_ms: 0,
        next_sweep_ms: 0,
        view,
    }
}

fn build_key_handover(settings: &Settings, incarnation: u64, now: Now, view: View) -> KeyHandover {
    let settings = HandoverSettings {
        clock_margin_ms: settings.keys.clock_margin_ms,
        confirmation_window_ms: settings.peer.confirmation_window_ms,
        incarnation,
        part_limit_records: HANDOVER_LIMIT_RECORDS,
        rules: HomeRules::default(),
    };
    KeyHandover::start(settings, now, view)
}

/// Builds an empty key home for the tiers of an inventory.
pub fn build_key_home(settings: &Settings, inventory: &Inventory) -> KeyHome {
    let keys = &settings.keys;
    KeyHomeBuilder::default()
        .capacity(keys.capacity)
        .clock_margin_ms(keys.clock_margin_ms)
        .lifetime_ms(keys.lifetime_ms)
        .tier_count(u8::try_from(inventory.tiers.len()).unwrap_or(u8::MAX))
        .build()
}

/// Builds the membership that starts with the given view.
pub fn build_membership(settings: &Settings, incarnation: u64, now: Now, view: View) -> Membership {
    MembershipBuilder::new(incarnation)
        .clock_margin_ms(settings.keys.clock_margin_ms)
        .confirmation_window_ms(settings.peer.confirmation_window_ms)
        .heartbeat_interval_ms(settings.peer.heartbeat_interval_ms)
        .key_lifetime_ms(settings.keys.lifetime_ms)
        .build(now, view)
}
