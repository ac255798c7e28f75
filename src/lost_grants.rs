//! Grants that counted as lost, kept until they expire in case their requests are reported late.

use std::collections::{BTreeMap, BTreeSet};

use crate::name::Name;
use crate::request_id::RequestId;
use crate::running_requests::GrantedRequest;

/// Maximum number of grants that are kept.
pub const LOST_GRANTS_LIMIT: usize = 4_096;

/// Grants of one service that counted as lost.
#[derive(Clone, Debug, Default)]
pub struct LostGrants {
    by_expires_ms: BTreeSet<(u64, RequestId)>,
    by_request: BTreeMap<RequestId, GrantedRequest>,
}

impl LostGrants {
    /// Adds a grant that expires at a time in milliseconds; over the limit, the first to expire is
    /// evicted.
    pub fn insert(&mut self, running: GrantedRequest, expires_ms: u64) {
        let request = running.grant_request.request.clone();
        self.remove(&request);
        self.by_expires_ms.insert((expires_ms, request.clone()));
        self.by_request.insert(request, GrantedRequest { expires_ms, ..running });
        if self.by_request.len() > LOST_GRANTS_LIMIT {
            self.expire_first();
        }
    }

    /// Removes a grant and returns it.
    pub fn remove(&mut self, request: &RequestId) -> Option<GrantedRequest> {
        let running = self.by_request.remove(request)?;
        self.by_expires_ms.remove(&(running.expires_ms, request.clone()));
        Some(running)
    }

    /// Removes the grants of one instance.
    pub fn remove_instance(&mut self, instance: &Name) {
        let of_instance = |request: &&RequestId| request.instance == *instance;
        let requests: Vec<RequestId> =
            self.by_request.keys().filter(of_instance).cloned().collect();
        for request in requests {
            self.remove(&request);
        }
    }

    /// Removes the expired grants.
    pub fn expire(&mut self, now_ms: u64) {
        while self.by_expires_ms.first().is_some_and(|(expires_ms, _)| *expires_ms <= now_ms) {
            self.expire_first();
        }
    }

    /// Returns the number of grants.
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    /// Returns whether there is no grant.
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    fn expire_first(&mut self) {
        if let Some((_, request)) = self.by_expires_ms.pop_first() {
            self.by_request.remove(&request);
        }
    }
}
