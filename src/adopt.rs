//! Applies published documents and instance lists to the core.

use std::sync::Arc;

use crate::build_core::{build_key_home, build_membership};
use crate::cell_inventory::cell_inventory;
use crate::config_event::{ConfigDocument, ConfigEffect, ConfigEvent, ConfigSource};
use crate::core::Core;
use crate::effect::Effect;
use crate::finding::Finding;
use crate::inventory::Inventory;
use crate::membership_event::MembershipEvent;
use crate::name::Name;
use crate::now::Now;
use crate::parse_inventory::parse_inventory;
use crate::peer_message::PeerMessage;
use crate::status_report::RefusedDocument;
use crate::view::View;

impl Core {
    /// Passes an event to the adoption of configuration and applies its effects.
    pub(crate) fn apply_config_event(&mut self, now: Now, event: ConfigEvent) {
        let was_ready = self.adoption.is_ready();
        let effects = self.adoption.decide(now, event);
        if !was_ready && self.adoption.is_ready() {
            self.resend_grant_requests(now);
        }
        for effect in effects {
            match effect {
                ConfigEffect::Adopt { inventory } => self.adopt_inventory(now, inventory),
                ConfigEffect::FetchFrom { peer } => {
                    let have_version = self.inventory.version;
                    self.send(&peer, PeerMessage::ConfigFetch { have_version });
                }
                ConfigEffect::Refused { findings, version } => {
                    let count = findings.len();
                    self.log(
                        "config",
                        format!("Configuration version {version} was refused: {count} findings."),
                    );
                    self.refused_document = Some(RefusedDocument { findings, version });
                }
            }
        }
    }

    /// Applies a document that was read from a peer, or from the platform if no peer is given.
    pub(crate) fn apply_document(
        &mut self,
        now: Now,
        parsed: Result<Arc<Inventory>, Vec<Finding>>,
        peer: Option<Name>,
        document: ConfigDocument,
    ) {
        let source = match peer {
            Some(peer) => ConfigSource::Peer(peer),
            None => ConfigSource::Platform,
        };
        self.apply_config_event(now, ConfigEvent::DocumentRead { document, parsed, source });
    }

    pub(crate) fn apply_instance_list(&mut self, now: Now, leaving: Vec<Name>) {
        self.apply_config_event(now, ConfigEvent::PlatformReachable);
        if leaving == self.leaving {
            return;
        }
        self.log_leaving_changes(&leaving);
        self.leaving = leaving;
        let event = self.fleet_event();
        self.send_to_schedulers(now, &event);
    }

    pub(crate) fn receive_peer_document(
        &mut self,
        now: Now,
        peer: Name,
        text: String,
        version: u64,
    ) {
        let parsed = match parse_inventory(&format!("version {version}"), &text) {
            Ok(inventory) => Ok(Arc::new(inventory)),
            Err(error) => Err(error.into_findings()),
        };
        let document = ConfigDocument { text: text.into(), version };
        self.apply_document(now, parsed, Some(peer), document);
    }

    pub(crate) fn send_newer_document(&mut self, peer: &Name, have_version: u64) {
        let Some(document) = self.adoption.document_after(have_version) else { return };
        let (text, version) = (document.text.to_string(), document.version);
        self.send(peer, PeerMessage::ConfigDocument { text, version });
    }

    fn log_leaving_changes(&mut self, leaving: &[Name]) {
        for name in
            leaving.iter().filter(|name| !self.is_leaving(name)).cloned().collect::<Vec<_>>()
        {
            self.log("platform", format!("{name} is marked as leaving in the instance list."));
        }
        let returned = self.leaving.iter().filter(|name| leaving.binary_search(name).is_err());
        for name in returned.cloned().collect::<Vec<_>>() {
            self.log(
                "platform",
                format!("{name} is no longer marked as leaving in the instance list."),
            );
        }
    }

    fn adopt_inventory(&mut self, now: Now, inventory: Arc<Inventory>) {
        self.log("config", format!("Configuration version {} is in force.", inventory.version));
        let is_first = self.inventory.version == 0;
        self.inventory = inventory;
        self.refused_document = None;
        let own_name = self.own_name();
        self.view = View::from_inventory(&self.inventory, own_name);
        self.cell_inventory = cell_inventory(&self.inventory, &self.view);
        self.link_members();
        self.effects.push(Effect::WatchAfter { version: self.inventory.version });
        let view = self.view.clone();
        self.key_handover.observe(&self.membership.eligibility(now));
        self.key_handover.adopt(view.clone());
        match is_first {
            true => {
                self.key_home = build_key_home(&self.settings, &self.inventory);
                self.membership = build_membership(&self.settings, self.incarnation, now, view);
            }
            false => self.apply_membership_event(now, MembershipEvent::ListAdopted { view }),
        }
        let event = self.fleet_event();
        self.send_to_schedulers(now, &event);
        self.assign_coordinators(now);
        self.move_grant_requests(now, None);
    }

    /// Keeps links to the members of the list, and to those of earlier lists until these lists
    /// are retired, since their members must receive the later list version.
    fn link_members(&mut self) {
        let own_name = self.own_name();
        for instance in &self.inventory.instances {
            let peer = (instance.name.clone(), instance.peer_address);
            match self.linked_peers.binary_search_by(|(name, _)| name.cmp(&instance.name)) {
                Ok(index) => self.linked_peers[index] = peer,
                Err(index) => self.linked_peers.insert(index, peer),
            }
        }
        self.linked_peers.retain(|(name, _)| *name != own_name);
        self.effects.push(Effect::SetPeers(self.linked_peers.clone()));
    }

    /// Drops the links to members of earlier lists once these lists are retired.
    pub(crate) fn unlink_former_members(&mut self) {
        if self.membership.retired_version() + 1 < self.view.list_version() {
            return;
        }
        let inventory = self.inventory.clone();
        let linked = self.linked_peers.len();
        self.linked_peers.retain(|(name, _)| inventory.instance(name).is_some());
        if self.linked_peers.len() < linked {
            self.effects.push(Effect::SetPeers(self.linked_peers.clone()));
        }
    }
}
