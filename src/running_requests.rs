//! The requests that a coordinator granted or was told of, until they end.

use std::collections::{BTreeMap, BTreeSet};

use crate::name::Name;
use crate::request_id::RequestId;
use crate::scheduling::GrantRequest;

/// Margin beyond a grant's expiry and the expected time to first token, in milliseconds.
const UNREPORTED_MARGIN_MS: u64 = 2_000;
/// Time after a request's deadline at which it counts as ended, in milliseconds.
const OVERDUE_MARGIN_MS: u64 = 5_000;

/// One request in progress.
#[derive(Clone, Debug)]
pub struct GrantedRequest {
    /// Backend server that it was granted.
    pub backend_server: Name,
    /// The grant request.
    pub grant_request: GrantRequest,
    /// A grant request that came for it while it was in progress and not heard of, with its time.
    pub pending_grant_request: Option<(u64, GrantRequest)>,
    /// Tokens that it counts for.
    pub cost_tokens: u64,
    /// Deadline, in milliseconds of monotonic time.
    pub deadline_ms: u64,
    /// Time at which it counts as ended unless heard of before, in milliseconds.
    pub expires_ms: u64,
    /// Time of the grant, in milliseconds.
    pub granted_ms: u64,
    /// Whether its receiver reported it.
    pub reported: bool,
    /// Prompt tokens that the server had to prefill when it was granted, its own included.
    pub prefill_backlog_tokens: u64,
    /// Prompt tokens that its prefill computes, by estimate; 0 once it is done.
    pub prefill_tokens: u64,
}

/// The requests in progress at the backend servers of one service.
#[derive(Clone, Debug, Default)]
pub struct RunningRequests {
    by_expires_ms: BTreeSet<(u64, RequestId)>,
    by_request: BTreeMap<RequestId, GrantedRequest>,
}

impl RunningRequests {
    /// Returns the time at which a grant that is not heard of counts as lost, in milliseconds.
    pub fn unreported_expiry_ms(now_ms: u64, expires_in_ms: u64, first_token_ms: u64) -> u64 {
        (now_ms + expires_in_ms + UNREPORTED_MARGIN_MS).saturating_add(first_token_ms)
    }

    /// Returns the time at which a request that was heard of counts as ended, in milliseconds.
    pub fn reported_expiry_ms(deadline_ms: u64) -> u64 {
        deadline_ms.saturating_add(OVERDUE_MARGIN_MS)
    }

    /// Adds a request in progress.
    pub fn insert(&mut self, running: GrantedRequest) {
        let request = running.grant_request.request.clone();
        self.by_expires_ms.insert((running.expires_ms, request.clone()));
        self.by_request.insert(request, running);
    }

    /// Takes a request out.
    pub fn remove(&mut self, request: &RequestId) -> Option<GrantedRequest> {
        let running = self.by_request.remove(request)?;
        self.by_expires_ms.remove(&(running.expires_ms, request.clone()));
        Some(running)
    }

    /// Notes that a request was heard of, which moves the time at which it counts as ended.
    pub fn mark_reported(&mut self, request: &RequestId, expires_ms: u64) {
        let Some(mut running) = self.remove(request) else { return };
        running.pending_grant_request = None;
        running.expires_ms = expires_ms;
        running.reported = true;
        self.insert(running);
    }

    /// Finds a request.
    pub fn get(&self, request: &RequestId) -> Option<&GrantedRequest> {
        self.by_request.get(request)
    }

    /// Finds a request, to change anything but the time at which it counts as ended.
    pub fn get_mut(&mut self, request: &RequestId) -> Option<&mut GrantedRequest> {
        self.by_request.get_mut(request)
    }

    /// Returns whether a request is in progress.
    pub fn contains(&self, request: &RequestId) -> bool {
        self.by_request.contains_key(request)
    }

    /// Returns the number of requests in progress.
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    /// Returns whether no request is in progress.
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    /// Returns whether a request with a fingerprint is in progress.
    pub fn contains_fingerprint(&self, fingerprint: u64) -> bool {
        self.by_request.values().any(|running| running.grant_request.fingerprint == fingerprint)
    }

    /// Returns a request that counts as ended.
    pub fn first_expired(&self, now_ms: u64) -> Option<RequestId> {
        let (expires_ms, request) = self.by_expires_ms.first()?;
        (*expires_ms <= now_ms).then(|| request.clone())
    }

    /// Returns the requests that a condition holds for.
    pub fn matching<P>(&self, condition: P) -> Vec<RequestId>
    where
        P: Fn(&RequestId, &GrantedRequest) -> bool,
    {
        let matching =
            self.by_request.iter().filter(|(request, running)| condition(request, running));
        matching.map(|(request, _)| request.clone()).collect()
    }
}
