//! Distinguishes instances that can't reach backend servers from backend servers that nobody can
//! reach.
//!
//! A failure to connect concerns the path from one instance to one backend server: that instance
//! leaves the server out for a short while. It counts against the server itself only together with
//! that of a second instance, if both reached others shortly before and afterwards and nobody reached
//! this one. An instance that was cut off from all has reached none before, and one that is has none
//! afterwards.

use crate::name::Name;

/// Time for which an instance leaves out a backend server that it could not reach, in milliseconds;
/// it doubles with each consecutive failure.
const LEFT_OUT_MS: u64 = 250;
/// Maximum number of doublings; an instance whose paths are restored has to notice it soon.
const MAX_DOUBLINGS: u32 = 2;
/// Time in which one request tries a path that failed before, in milliseconds.
const TRIAL_MS: u64 = 600;
/// Longest time between the failures of two instances that count together, in milliseconds.
const TOGETHER_MS: u64 = 1_000;
/// Longest time between two contacts of an instance that reaches backend servers, in milliseconds.
const CONTACT_GAP_MS: u64 = 2_000;
/// Time after which a failed path is forgotten, in milliseconds.
const EXPIRY_MS: u64 = 5_000;
/// Number of instances whose failures count against a backend server.
const WITNESSES: usize = 2;

/// The path of a send.
#[derive(Clone, Copy, Debug)]
pub struct SendPath<'a> {
    /// Id of the backend server.
    pub backend_server: &'a Name,
    /// When it began, in milliseconds of the boot clock.
    pub begun_ms: u64,
    /// Instance that sends.
    pub instance: &'a Name,
}

/// The path from an instance to a backend server that it could not reach.
#[derive(Clone, Debug)]
struct FailedPath {
    backend_server: Name,
    /// Number of consecutive failures.
    failures: u32,
    failed_ms: u64,
    instance: Name,
    /// Whether a request tries the path.
    is_tried: bool,
    /// Whether it says nothing of the backend server: its instance had reached none before, or another
    /// instance has reached this one since.
    is_void: bool,
    left_out_until_ms: u64,
    /// Whether its instance has reached another backend server since.
    reached_another: bool,
}

impl FailedPath {
    fn counts(&self, now_ms: u64) -> bool {
        self.reached_another && !self.is_void && now_ms < self.failed_ms + TOGETHER_MS
    }
}

/// Period in which an instance reached backend servers again and again.
#[derive(Clone, Debug)]
struct ContactPeriod {
    instance: Name,
    last_ms: u64,
    since_ms: u64,
}

/// Paths that failed lately.
#[derive(Clone, Debug, Default)]
pub struct FailedPaths {
    /// Sorted by instance.
    contacts: Vec<ContactPeriod>,
    /// Sorted by instance and backend server.
    list: Vec<FailedPath>,
}

impl FailedPaths {
    /// Records that a send did not reach its backend server.
    pub fn record_failure(&mut self, now_ms: u64, send: SendPath) {
        let SendPath { backend_server, begun_ms, instance } = send;
        self.expire(now_ms);
        let index = match self.find(instance, backend_server) {
            Ok(index) => index,
            Err(index) => {
                let path = FailedPath {
                    backend_server: backend_server.clone(),
                    failures: 0,
                    failed_ms: now_ms,
                    instance: instance.clone(),
                    is_tried: false,
                    is_void: false,
                    left_out_until_ms: 0,
                    reached_another: false,
                };
                self.list.insert(index, path);
                index
            }
        };
        let is_void = !self.had_contact(begun_ms, instance);
        let path = &mut self.list[index];
        path.failed_ms = now_ms;
        path.is_void = is_void;
        path.reached_another = false;
        // Other sends that fail were begun before the path was left out.
        if path.is_tried || now_ms >= path.left_out_until_ms {
            path.left_out_until_ms = now_ms + (LEFT_OUT_MS << path.failures.min(MAX_DOUBLINGS));
            path.failures = path.failures.saturating_add(1);
            path.is_tried = false;
        }
    }

    /// Records that an instance has a connection to a backend server; returns the backend servers
    /// that are found out of reach for all by that.
    pub fn record_contact(
        &mut self,
        now_ms: u64,
        instance: &Name,
        backend_server: &Name,
    ) -> Vec<Name> {
        self.expire(now_ms);
        self.prolong_contact(now_ms, instance);
        if let Ok(index) = self.find(instance, backend_server) {
            self.list.remove(index);
        }
        let mut witnessed = Vec::new();
        for path in &mut self.list {
            if path.backend_server == *backend_server {
                path.is_void = true;
            } else if path.instance == *instance && !path.reached_another {
                path.reached_another = true;
                witnessed.push(path.backend_server.clone());
            }
        }
        witnessed.retain(|backend_server| self.is_out_of_reach(now_ms, backend_server));
        witnessed
    }

    /// Records that an instance sends a request to a backend server; after a failure, others wait for
    /// its outcome.
    pub fn record_send(&mut self, now_ms: u64, instance: &Name, backend_server: &Name) {
        if let Ok(index) = self.find(instance, backend_server) {
            let path = &mut self.list[index];
            path.is_tried = true;
            path.left_out_until_ms = path.left_out_until_ms.max(now_ms + TRIAL_MS);
        }
    }

    /// Returns the backend servers that an instance leaves out at present.
    pub fn left_out(&self, now_ms: u64, instance: &str) -> Vec<Name> {
        let start = self.list.partition_point(|path| &*path.instance < instance);
        let of_instance = self.list[start..].iter().take_while(|path| &*path.instance == instance);
        let left_out = of_instance.filter(|path| now_ms < path.left_out_until_ms);
        left_out.map(|path| path.backend_server.clone()).collect()
    }

    fn prolong_contact(&mut self, now_ms: u64, instance: &Name) {
        let period =
            ContactPeriod { instance: instance.clone(), last_ms: now_ms, since_ms: now_ms };
        match self.contacts.binary_search_by(|known| known.instance.cmp(instance)) {
            Ok(index) if now_ms < self.contacts[index].last_ms + CONTACT_GAP_MS => {
                self.contacts[index].last_ms = now_ms;
            }
            Ok(index) => self.contacts[index] = period,
            Err(index) => self.contacts.insert(index, period),
        }
    }

    /// Returns whether an instance reached backend servers shortly before a point in time.
    fn had_contact(&self, at_ms: u64, instance: &str) -> bool {
        let found = self.contacts.binary_search_by(|known| (*known.instance).cmp(instance));
        found.is_ok_and(|index| {
            let ContactPeriod { last_ms, since_ms, .. } = self.contacts[index];
            since_ms <= at_ms && at_ms < last_ms + CONTACT_GAP_MS
        })
    }

    fn expire(&mut self, now_ms: u64) {
        self.list.retain(|path| now_ms < path.failed_ms + EXPIRY_MS);
        self.contacts.retain(|known| now_ms < known.last_ms + EXPIRY_MS);
    }

    fn is_out_of_reach(&self, now_ms: u64, backend_server: &str) -> bool {
        let paths = self.list.iter().filter(|path| &*path.backend_server == backend_server);
        paths.filter(|path| path.counts(now_ms)).count() >= WITNESSES
    }

    fn find(&self, instance: &str, backend_server: &str) -> Result<usize, usize> {
        self.list.binary_search_by(|path| {
            (&*path.instance, &*path.backend_server).cmp(&(instance, backend_server))
        })
    }
}
