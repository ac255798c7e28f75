//! Puts published documents in force.

use std::sync::Arc;

use crate::build_core::build_membership;
use crate::config_adoption::{AdoptionEffect, AdoptionEvent, DocumentSource};
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
    pub(crate) fn hear_of_document(&mut self, now: Now, peer: Name, version: u64) {
        self.adopt(now, AdoptionEvent::PeerAhead { peer, version });
    }

    pub(crate) fn read_document(
        &mut self,
        now: Now,
        parsed: Result<Arc<Inventory>, Vec<Finding>>,
        peer: Option<Name>,
        text: Arc<str>,
        version: u64,
    ) {
        let source = match peer {
            Some(peer) => DocumentSource::Peer(peer),
            None => {
                self.platform_reachable = true;
                DocumentSource::Platform
            }
        };
        self.adopt(now, AdoptionEvent::DocumentRead { parsed, source, text, version });
    }

    pub(crate) fn read_instance_list(&mut self, now: Now, leaving: Vec<Name>) {
        self.platform_reachable = true;
        if leaving == self.leaving {
            return;
        }
        self.leaving = leaving;
        let event = self.fleet_event();
        self.schedule_all(now, &event);
    }

    pub(crate) fn read_peer_document(&mut self, now: Now, peer: Name, text: String, version: u64) {
        let parsed = match parse_inventory(&format!("version {version}"), &text) {
            Ok(inventory) => Ok(Arc::new(inventory)),
            Err(error) => Err(error.into_findings()),
        };
        self.read_document(now, parsed, Some(peer), text.into(), version);
    }

    pub(crate) fn serve_document(&mut self, peer: &Name, have_version: u64) {
        let Some((version, text)) = self.adoption.document() else { return };
        if version > have_version {
            let text = text.to_string();
            self.send(peer, PeerMessage::ConfigDocument { text, version });
        }
    }

    pub(crate) fn tick_adoption(&mut self, now: Now) {
        self.adopt(now, AdoptionEvent::Tick);
    }

    fn adopt(&mut self, now: Now, event: AdoptionEvent) {
        for effect in self.adoption.decide(now, event) {
            match effect {
                AdoptionEffect::Adopt { inventory } => self.put_in_force(now, inventory),
                AdoptionEffect::FetchFrom { peer } => {
                    let have_version = self.inventory.version;
                    self.send(&peer, PeerMessage::ConfigFetch { have_version });
                }
                AdoptionEffect::Refused { version, findings } => {
                    let count = findings.len();
                    self.log("config", format!("Version {version} is refused: {count} findings."));
                    self.refused_document = Some(RefusedDocument { findings, version });
                }
            }
        }
    }

    fn put_in_force(&mut self, now: Now, inventory: Arc<Inventory>) {
        self.log("config", format!("Version {} is in force.", inventory.version));
        let is_first = self.inventory.version == 0;
        self.inventory = inventory;
        self.refused_document = None;
        let own_name = self.own_name();
        self.view = View::of(&self.inventory, own_name.clone());
        let peers = self
            .inventory
            .instances
            .iter()
            .filter(|instance| instance.name != own_name)
            .map(|instance| (instance.name.clone(), instance.peer_address))
            .collect();
        self.effects.push(Effect::SetPeers(peers));
        let view = self.view.clone();
        match is_first {
            true => self.membership = build_membership(&self.settings, self.incarnation, now, view),
            false => self.member(now, MembershipEvent::ListAdopted { view }),
        }
        let event = self.fleet_event();
        self.schedule_all(now, &event);
        self.assign_stewards(now);
        self.move_bids(now, None);
    }
}
