//! Places that a coordinator has granted to other instances, until they end.

use crate::gateway::backends::Backends;
use crate::gateway::fleet::message::RunningPlace;
use crate::name::Name;

/// Time for which a place counts that its holder does not report, in milliseconds; the grant may
/// still be on its way.
const UNREPORTED_MS: u64 = 700;

/// A granted place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lease {
    /// Id of the backend server.
    pub backend_server: Name,
    /// When it was granted, in milliseconds of the boot clock.
    pub granted_ms: u64,
    /// Instance that holds it.
    pub holder: Name,
    /// Whether a model request holds it.
    pub is_model: bool,
    /// Whether its holder has told that it is in use.
    pub is_reported: bool,
    /// Number of the place at its holder.
    pub number: u64,
    /// Uncached prompt tokens, before the first event.
    pub unread_tokens: u64,
    /// Shared parts of its prompt, before the first event.
    pub unstarted_parts: Vec<u64>,
}

/// Granted places, sorted by holder and number.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    list: Vec<Lease>,
}

impl Leases {
    /// Returns the number of places.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Returns whether there are no places.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns all places.
    pub fn iter(&self) -> impl Iterator<Item = &Lease> {
        self.list.iter()
    }

    /// Returns a place.
    pub fn get(&self, holder: &str, number: u64) -> Option<&Lease> {
        self.find(holder, number).ok().map(|index| &self.list[index])
    }

    /// Adds a place and counts it at its backend server.
    pub fn add(&mut self, lease: Lease, backends: &mut Backends) {
        if let Err(index) = self.find(&lease.holder, lease.number) {
            if let Some(backend) = backends.get_mut(&lease.backend_server) {
                backend.add_other(lease.unread_tokens);
            }
            self.list.insert(index, lease);
        }
    }

    /// Records that a prompt was read.
    pub fn read_prompt(&mut self, holder: &str, number: u64, backends: &mut Backends) {
        if let Ok(index) = self.find(holder, number) {
            let lease = &mut self.list[index];
            let unread_tokens = std::mem::take(&mut lease.unread_tokens);
            lease.unstarted_parts.clear();
            if let Some(backend) = backends.get_mut(&lease.backend_server) {
                backend.read_other(unread_tokens);
            }
        }
    }

    /// Removes a place and returns it.
    pub fn end(&mut self, holder: &str, number: u64, backends: &mut Backends) -> Option<Lease> {
        let index = self.find(holder, number).ok()?;
        let lease = self.list.remove(index);
        uncount(&lease, backends);
        Some(lease)
    }

    /// Replaces what is known of a holder by its own report.
    pub fn reconcile(
        &mut self,
        now_ms: u64,
        holder: &Name,
        running: &[RunningPlace],
        backends: &mut Backends,
    ) {
        let is_reported = |number| running.iter().any(|place| place.number == number);
        let is_stale = |lease: &mut Lease| {
            lease.holder == *holder
                && now_ms >= lease.granted_ms + UNREPORTED_MS
                && !is_reported(lease.number)
        };
        for lease in self.list.extract_if(.., is_stale) {
            uncount(&lease, backends);
        }
        for place in running {
            match self.find(holder, place.number) {
                Ok(index) => {
                    self.list[index].is_reported = true;
                    if place.unread_tokens == 0 && self.list[index].unread_tokens > 0 {
                        self.read_prompt(holder, place.number, backends);
                    }
                }
                Err(_) => {
                    let lease = Lease {
                        backend_server: place.backend_server.clone(),
                        // Granted by another coordinator, so each report is complete about it.
                        granted_ms: 0,
                        holder: holder.clone(),
                        is_model: place.unread_tokens > 0,
                        is_reported: true,
                        number: place.number,
                        unread_tokens: place.unread_tokens,
                        unstarted_parts: Vec::new(),
                    };
                    self.add(lease, backends);
                }
            }
        }
    }

    /// Removes all places of holders that are no longer live.
    pub fn retain_holders<F>(&mut self, is_live: F, backends: &mut Backends)
    where
        F: Fn(&Lease) -> bool,
    {
        for lease in self.list.extract_if(.., |lease| !is_live(lease)) {
            uncount(&lease, backends);
        }
    }

    fn find(&self, holder: &str, number: u64) -> Result<usize, usize> {
        self.list.binary_search_by(|lease| (&*lease.holder, lease.number).cmp(&(holder, number)))
    }
}

fn uncount(lease: &Lease, backends: &mut Backends) {
    if let Some(backend) = backends.get_mut(&lease.backend_server) {
        backend.remove_other(lease.unread_tokens);
    }
}
