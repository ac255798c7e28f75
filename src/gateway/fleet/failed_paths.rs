//! Distinguishes instances that can't reach backend servers from backend servers that nobody can
//! reach.
//!
//! A failure to connect concerns the path from one instance to one backend server: that instance
//! leaves the server out for a short while. It counts against the server itself only together with
//! that of a second instance, if both reached other servers since and nobody reached this one.

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
/// Time after which a failed path is forgotten, in milliseconds.
const EXPIRY_MS: u64 = 5_000;
/// Number of instances whose failures count against a backend server.
const WITNESSES: usize = 2;

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
    left_out_until_ms: u64,
    /// Whether its instance has reached another backend server since.
    reached_another: bool,
    /// Whether another instance has reached the backend server since.
    was_reached: bool,
}

impl FailedPath {
    fn counts(&self, now_ms: u64) -> bool {
        self.reached_another && !self.was_reached && now_ms < self.failed_ms + TOGETHER_MS
    }
}

/// Paths that failed lately, sorted by instance and backend server.
#[derive(Clone, Debug, Default)]
pub struct FailedPaths {
    list: Vec<FailedPath>,
}

impl FailedPaths {
    /// Records that an instance could not reach a backend server.
    pub fn record_failure(&mut self, now_ms: u64, instance: &Name, backend_server: &Name) {
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
                    left_out_until_ms: 0,
                    reached_another: false,
                    was_reached: false,
                };
                self.list.insert(index, path);
                index
            }
        };
        let path = &mut self.list[index];
        path.failed_ms = now_ms;
        path.reached_another = false;
        path.was_reached = false;
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
        if let Ok(index) = self.find(instance, backend_server) {
            self.list.remove(index);
        }
        let mut witnessed = Vec::new();
        for path in &mut self.list {
            if path.backend_server == *backend_server {
                path.was_reached = true;
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

    fn expire(&mut self, now_ms: u64) {
        self.list.retain(|path| now_ms < path.failed_ms + EXPIRY_MS);
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
