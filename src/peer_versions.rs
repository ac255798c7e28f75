//! The versions of the configuration in force at the peers.

use crate::name::Name;

/// Version of the configuration in force at one peer.
#[derive(Clone, Debug)]
struct PeerVersion {
    peer: Name,
    version: u64,
}

/// Versions in force at the reachable peers, sorted by peer.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerVersions {
    sorted: Vec<PeerVersion>,
}

impl PeerVersions {
    /// Returns whether the version of a peer is known.
    pub(crate) fn has(&self, peer: &Name) -> bool {
        self.find(peer).is_ok()
    }

    /// Returns the highest version other than `excluded`; 0 if there is none.
    pub(crate) fn highest(&self, excluded: Option<u64>) -> u64 {
        let versions = self.sorted.iter().map(|entry| entry.version);
        versions.filter(|version| Some(*version) != excluded).max().unwrap_or(0)
    }

    /// Returns a peer with this version: the next one after `previous` in rotation.
    pub(crate) fn next_with(&self, version: u64, previous: Option<&Name>) -> Option<Name> {
        let has = |entry: &&PeerVersion| entry.version == version;
        let after = |entry: &&PeerVersion| previous.is_none_or(|before| entry.peer > *before);
        let next = self.sorted.iter().filter(has).find(after);
        let first = || self.sorted.iter().find(has);
        next.or_else(first).map(|entry| entry.peer.clone())
    }

    /// Removes a peer.
    pub(crate) fn remove(&mut self, peer: &Name) {
        if let Ok(index) = self.find(peer) {
            self.sorted.remove(index);
        }
    }

    /// Records the version of a peer.
    pub(crate) fn set(&mut self, peer: Name, version: u64) {
        match self.find(&peer) {
            Err(index) => self.sorted.insert(index, PeerVersion { peer, version }),
            Ok(index) => self.sorted[index].version = version,
        }
    }

    fn find(&self, peer: &Name) -> Result<usize, usize> {
        self.sorted.binary_search_by(|entry| entry.peer.cmp(peer))
    }
}
