//! Decides which published configuration is in force: the highest version, never an older one.
//!
//! An invalid document is refused whole, and the one in force stays. A newer version at a peer is
//! fetched from that peer, so that it spreads while the platform is down or stale.

use std::sync::Arc;

use crate::config_event::{ConfigDocument, ConfigEffect, ConfigEvent, ConfigSource};
use crate::finding::Finding;
use crate::inventory::Inventory;
use crate::name::Name;
use crate::now::Now;
use crate::peer_versions::PeerVersions;

/// Time after which a document that did not arrive is requested again, in milliseconds.
pub const FETCH_RETRY_MS: u64 = 500;
/// Longest time for which a started instance waits for the versions of its peers after its first
/// document, in milliseconds.
pub const READY_LIMIT_MS: u64 = 3_000;

/// A pending request for a document.
#[derive(Clone, Debug)]
struct Fetch {
    requested_ms: u64,
    peer: Name,
}

/// A document that was refused.
#[derive(Clone, Debug)]
struct RefusedConfig {
    document: ConfigDocument,
    /// Whether this version also came from a peer.
    fetched: bool,
    findings: Vec<Finding>,
}

/// What to do with a document that was received.
enum DocumentDecision {
    Adopt(Arc<Inventory>),
    Ignore,
    Refuse(Vec<Finding>),
}

/// Decides which published configuration is in force.
#[derive(Clone, Debug)]
pub struct ConfigAdoption {
    fetch: Option<Fetch>,
    wait_started_ms: Option<u64>,
    in_force: Option<(ConfigDocument, Arc<Inventory>)>,
    name: Name,
    peer_versions: PeerVersions,
    platform_reachable: bool,
    ready: bool,
    refused: Option<RefusedConfig>,
}

impl ConfigAdoption {
    /// Returns an adoption without a document, for the instance of this name.
    pub fn new(name: Name) -> Self {
        Self {
            fetch: None,
            wait_started_ms: None,
            in_force: None,
            name,
            peer_versions: PeerVersions::default(),
            platform_reachable: true,
            ready: false,
            refused: None,
        }
    }

    /// Applies an event and returns its effects, in order.
    pub fn decide(&mut self, now: Now, event: ConfigEvent) -> Vec<ConfigEffect> {
        let mut effects = Vec::new();
        match event {
            ConfigEvent::DocumentRead { document, parsed, source } => {
                effects.extend(self.receive_document(document, parsed, &source));
            }
            ConfigEvent::PeerDown { peer } => self.remove_peer(&peer),
            ConfigEvent::PeerVersion { peer, version } => self.peer_versions.set(peer, version),
            ConfigEvent::PlatformReachable => self.platform_reachable = true,
            ConfigEvent::PlatformUnreachable => self.platform_reachable = false,
            ConfigEvent::Tick => {}
        }
        effects.extend(self.fetch_newer(now));
        self.ready |= self.has_checked_peers(now);
        effects
    }

    /// Makes the instance wait for the versions of its peers before it is ready, as after a start.
    pub fn revalidate(&mut self, now: Now) {
        self.fetch = None;
        self.wait_started_ms = self.in_force.as_ref().map(|_| now.monotonic_ms);
        self.peer_versions = PeerVersions::default();
        self.ready = false;
    }

    /// Returns the document in force if it is newer than the version that a peer has.
    pub fn document_after(&self, have_version: u64) -> Option<&ConfigDocument> {
        let (document, _) = self.in_force.as_ref()?;
        (document.version > have_version).then_some(document)
    }

    /// Returns the findings of the last refused document, unless a newer one is in force.
    pub fn findings(&self) -> &[Finding] {
        self.refused.as_ref().map_or(&[], |refused| &refused.findings)
    }

    /// Returns the inventory in force.
    pub fn inventory(&self) -> Option<&Arc<Inventory>> {
        self.in_force.as_ref().map(|(_, inventory)| inventory)
    }

    /// Returns whether the last read of the platform's service succeeded.
    pub fn is_platform_reachable(&self) -> bool {
        self.platform_reachable
    }

    /// Returns whether a document is in force and either all other instances have reported no newer
    /// one, or [`READY_LIMIT_MS`] have passed.
    ///
    /// Once true, it stays so until [`ConfigAdoption::revalidate`].
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns the version in force; 0 if none is.
    pub fn version(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |(document, _)| document.version)
    }

    fn adopt(&mut self, document: ConfigDocument, inventory: &Arc<Inventory>) {
        if self.refused.as_ref().is_some_and(|refused| refused.document.version <= document.version)
        {
            self.refused = None;
        }
        self.in_force = Some((document, inventory.clone()));
    }

    fn fetch_newer(&mut self, now: Now) -> Option<ConfigEffect> {
        let version = self.peer_versions.highest(self.skipped_version());
        if version <= self.version() {
            self.fetch = None;
            return None;
        }
        let pending = self.fetch.as_ref();
        if pending.is_some_and(|fetch| now.monotonic_ms < fetch.requested_ms + FETCH_RETRY_MS) {
            return None;
        }
        let previous = pending.map(|fetch| fetch.peer.clone());
        let peer = self.peer_versions.next_with(version, previous.as_ref())?;
        self.fetch = Some(Fetch { requested_ms: now.monotonic_ms, peer: peer.clone() });
        Some(ConfigEffect::FetchFrom { peer })
    }

    fn has_checked_peers(&mut self, now: Now) -> bool {
        let Some(inventory) = self.inventory().cloned() else { return false };
        let started_ms = *self.wait_started_ms.get_or_insert(now.monotonic_ms);
        let waited_ms = now.monotonic_ms.saturating_sub(started_ms);
        waited_ms >= READY_LIMIT_MS || self.is_newest(&inventory)
    }

    fn is_newest(&self, inventory: &Inventory) -> bool {
        let mut others = inventory.instances.iter().filter(|instance| instance.name != self.name);
        others.all(|instance| self.peer_versions.has(&instance.name))
            && self.peer_versions.highest(self.skipped_version()) <= self.version()
    }

    fn check_document(
        &self,
        document: &ConfigDocument,
        parsed: Result<Arc<Inventory>, Vec<Finding>>,
        source: &ConfigSource,
    ) -> DocumentDecision {
        let version = document.version;
        if version < self.version() {
            return DocumentDecision::Ignore;
        }
        if let Some((in_force, _)) = &self.in_force
            && in_force.version == version
        {
            if in_force.text == document.text {
                return DocumentDecision::Ignore;
            }
            let message = format!("version {version} was published twice with different texts");
            return DocumentDecision::Refuse(vec![finding(source, message)]);
        }
        match parsed {
            Err(findings) => DocumentDecision::Refuse(findings),
            Ok(inventory) if inventory.version != version => {
                let stated = inventory.version;
                let message = format!("version {version} states version {stated} in its text");
                DocumentDecision::Refuse(vec![finding(source, message)])
            }
            Ok(inventory) => DocumentDecision::Adopt(inventory),
        }
    }

    fn remove_peer(&mut self, peer: &Name) {
        self.peer_versions.remove(peer);
        if self.fetch.as_ref().is_some_and(|fetch| fetch.peer == *peer) {
            self.fetch = None;
        }
    }

    fn receive_document(
        &mut self,
        document: ConfigDocument,
        parsed: Result<Arc<Inventory>, Vec<Finding>>,
        source: &ConfigSource,
    ) -> Option<ConfigEffect> {
        if *source == ConfigSource::Platform {
            self.platform_reachable = true;
        }
        match self.check_document(&document, parsed, source) {
            DocumentDecision::Adopt(inventory) => {
                self.adopt(document, &inventory);
                Some(ConfigEffect::Adopt { inventory })
            }
            DocumentDecision::Ignore => None,
            DocumentDecision::Refuse(findings) => self.refuse(document, findings, source),
        }
    }

    fn refuse(
        &mut self,
        document: ConfigDocument,
        findings: Vec<Finding>,
        source: &ConfigSource,
    ) -> Option<ConfigEffect> {
        let version = document.version;
        let mut fetched = *source != ConfigSource::Platform;
        if let Some(refused) = &mut self.refused
            && refused.document.version == version
        {
            refused.fetched |= fetched;
            fetched = refused.fetched;
            if refused.document == document {
                return None;
            }
        }
        self.refused = Some(RefusedConfig { document, fetched, findings: findings.clone() });
        Some(ConfigEffect::Refused { findings, version })
    }

    /// Returns the version that was refused from a peer and is not fetched again.
    fn skipped_version(&self) -> Option<u64> {
        let refused = self.refused.as_ref().filter(|refused| refused.fetched)?;
        Some(refused.document.version)
    }
}

fn finding(source: &ConfigSource, message: String) -> Finding {
    let file = match source {
        ConfigSource::Peer(peer) => peer.clone(),
        ConfigSource::Platform => "platform".into(),
    };
    Finding { file, line: 0, message }
}
