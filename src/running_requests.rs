//! The requests in progress that a coordinator granted, or that receivers reported to it, until
//! they end.

use std::collections::{BTreeMap, BTreeSet};

use crate::name::Name;
use crate::request_id::RequestId;
use crate::scheduling::GrantRequest;

/// Margin after a grant's expiry and the expected time to first token, after which an unreported
/// request counts as lost, in milliseconds.
const UNREPORTED_MARGIN_MS: u64 = 2_000;
/// Time after its deadline at which a request counts as ended, in milliseconds.
const OVERDUE_MARGIN_MS: u64 = 5_000;

/// One request in progress.
#[derive(Clone, Debug)]
pub struct GrantedRequest {
    /// Backend server that it was granted.
    pub backend_server: Name,
    /// The grant request.
    pub grant_request: GrantRequest,
    /// A grant request that arrived for it while it was in progress and unreported, with the time
    /// of arrival in milliseconds.
    pub pending_grant_request: Option<(u64, GrantRequest)>,
    /// Its cost against the limit, in tokens.
    pub cost_tokens: u64,
    /// Monotonic time of its deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Time at which it counts as ended unless it is reported before, in milliseconds.
    pub expires_ms: u64,
    /// Time of the grant, in milliseconds.
    pub granted_ms: u64,
    /// Whether its receiver reported it.
    pub reported: bool,
    /// Prompt tokens that the server had left to prefill when it was granted, its own included.
    pub prefill_backlog_tokens: u64,
    /// Estimated prompt tokens of its own prefill; 0 once that is done.
    pub prefill_tokens: u64,
}

/// The requests in progress at the backend servers of one service.
#[derive(Clone, Debug, Default)]
pub struct RunningRequests {
    by_expires_ms: BTreeSet<(u64, RequestId)>,
    by_request: BTreeMap<RequestId, GrantedRequest>,
}

impl RunningRequests {
    /// Returns the time at which an unreported grant counts as lost, in milliseconds.
    pub fn unreported_expiry_ms(now_ms: u64, expires_in_ms: u64, first_token_ms: u64) -> u64 {
        (now_ms + expires_in_ms + UNREPORTED_MARGIN_MS).saturating_add(first_token_ms)
    }

    /// Returns the time at which a reported request counts as ended, in milliseconds.
    pub fn reported_expiry_ms(deadline_ms: u64) -> u64 {
        deadline_ms.saturating_add(OVERDUE_MARGIN_MS)
    }

    /// Adds a request in progress.
    pub fn insert(&mut self, running: GrantedRequest) {
        let request = running.grant_request.request.clone();
        self.by_expires_ms.insert((running.expires_ms, request.clone()));
        self.by_request.insert(request, running);
    }

    /// Removes a request and returns it.
    pub fn remove(&mut self, request: &RequestId) -> Option<GrantedRequest> {
        let running = self.by_request.remove(request)?;
        self.by_expires_ms.remove(&(running.expires_ms, request.clone()));
        Some(running)
    }

    /// Marks a request as reported and sets the time at which it counts as ended.
    pub fn mark_reported(&mut self, request: &RequestId, expires_ms: u64) {
        let Some(mut running) = self.remove(request) else { return };
        running.pending_grant_request = None;
        running.expires_ms = expires_ms;
        running.reported = true;
        self.insert(running);
    }

    /// Returns a request.
    pub fn get(&self, request: &RequestId) -> Option<&GrantedRequest> {
        self.by_request.get(request)
    }

    /// Returns a request for changes of any field except `expires_ms`.
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

    /// Returns the first request to expire, if it has expired.
    pub fn first_expired(&self, now_ms: u64) -> Option<RequestId> {
        let (expires_ms, request) = self.by_expires_ms.first()?;
        (*expires_ms <= now_ms).then(|| request.clone())
    }

    /// Returns the requests that match a condition.
    pub fn matching<P>(&self, condition: P) -> Vec<RequestId>
    where
        P: Fn(&RequestId, &GrantedRequest) -> bool,
    {
        let matching =
            self.by_request.iter().filter(|(request, running)| condition(request, running));
        matching.map(|(request, _)| request.clone()).collect()
    }
}
