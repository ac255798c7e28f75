//! The backend servers and granted requests of one service, as both baseline schedulers keep them.

use std::collections::BTreeMap;

use crate::inventory::Inventory;
use crate::load_report::LoadReport;
use crate::name::Name;
use crate::request_id::RequestId;
use crate::scheduler::{BackendServerReport, SchedulerEffect, SchedulerEvent, SchedulerReport};
use crate::scheduling::{Grant, GrantRequest, Progress, Refusal, RefusalReason};

/// Time for which a server is skipped after a failed connection, in milliseconds.
const SKIP_MS: u64 = 1_000;
const GRANT_EXPIRES_MS: u64 = 1_000;
const RETRY_AFTER_MS: u64 = 1_000;

/// One backend server.
#[derive(Clone, Debug)]
pub struct BaselineServer {
    /// Whether it is leaving and gets no new requests.
    pub leaving: bool,
    /// Name.
    pub name: Name,
    /// Requests in progress that this scheduler granted.
    pub outstanding: u32,
    /// Requests in progress by the last load report.
    pub reported: u32,
    /// Time until which it is skipped, in milliseconds.
    pub skipped_until_ms: u64,
}

/// The backend servers of one service and the requests granted to them by this scheduler.
#[derive(Clone, Debug)]
pub struct BaselineFleet {
    /// Backend servers, sorted by name.
    pub servers: Vec<BaselineServer>,
    granted: BTreeMap<RequestId, Name>,
    service: Name,
}

impl BaselineFleet {
    /// Returns a fleet without backend servers.
    pub fn new(service: Name) -> Self {
        Self { granted: BTreeMap::new(), servers: Vec::new(), service }
    }

    /// Applies any event except a grant request.
    pub fn apply_event(&mut self, now_ms: u64, event: &SchedulerEvent) {
        match event {
            SchedulerEvent::Fleet { inventory, leaving } => self.set_fleet(inventory, leaving),
            SchedulerEvent::InstanceLost { instance } => self.remove_lost_instance(instance),
            SchedulerEvent::LoadReport { backend_server, report } => {
                self.record_load(backend_server, report);
            }
            SchedulerEvent::Progress { progress, request } => {
                self.apply_progress(now_ms, request, progress);
            }
            SchedulerEvent::Running(running) => {
                self.add_granted(&running.grant_request.request, &running.backend_server);
            }
            SchedulerEvent::Withdraw { request } => self.remove_granted(request),
            SchedulerEvent::GrantRequest(_)
            | SchedulerEvent::CacheEvents { .. }
            | SchedulerEvent::Quarantine { .. }
            | SchedulerEvent::Tick => {}
        }
    }

    /// Grants the server at an index, or refuses the request if there is none.
    pub fn grant_or_refuse(
        &mut self,
        grant_request: &GrantRequest,
        index: Option<usize>,
    ) -> SchedulerEffect {
        let request = grant_request.request.clone();
        let Some(index) = index else {
            let reason = RefusalReason::NoBackendServer;
            return SchedulerEffect::Refuse(Refusal {
                reason,
                request,
                retry_after_ms: RETRY_AFTER_MS,
            });
        };
        let backend_server = self.servers[index].name.clone();
        self.add_granted(&request, &backend_server);
        SchedulerEffect::Grant(Grant { backend_server, expires_in_ms: GRANT_EXPIRES_MS, request })
    }

    /// Returns whether a request may go to the server at an index.
    pub fn is_candidate(&self, now_ms: u64, grant_request: &GrantRequest, index: usize) -> bool {
        let server = &self.servers[index];
        let skipped = server.skipped_until_ms > now_ms;
        !server.leaving && !skipped && !grant_request.excluded.contains(&server.name)
    }

    /// Returns whether a request was granted and hasn't ended.
    pub fn is_granted(&self, request: &RequestId) -> bool {
        self.granted.contains_key(request)
    }

    /// Describes the servers, for operators.
    pub fn report(&self, now_ms: u64) -> SchedulerReport {
        let describe = |server: &BaselineServer| BackendServerReport {
            limit_tokens: 0,
            name: server.name.to_string(),
            running_requests: server.outstanding,
            running_tokens: 0,
            state: state(server, now_ms).to_owned(),
        };
        SchedulerReport {
            backend_servers: self.servers.iter().map(describe).collect(),
            service: self.service.to_string(),
            ..SchedulerReport::default()
        }
    }

    fn add_granted(&mut self, request: &RequestId, backend_server: &Name) {
        let before = self.granted.insert(request.clone(), backend_server.clone());
        if before.is_some() {
            return;
        }
        if let Some(server) = self.server_mut(backend_server) {
            server.outstanding += 1;
        }
    }

    fn remove_granted(&mut self, request: &RequestId) {
        let Some(backend_server) = self.granted.remove(request) else { return };
        if let Some(server) = self.server_mut(&backend_server) {
            server.outstanding = server.outstanding.saturating_sub(1);
        }
    }

    fn remove_lost_instance(&mut self, instance: &Name) {
        let own = self.granted.keys().filter(|request| request.instance == *instance);
        let lost: Vec<RequestId> = own.cloned().collect();
        for request in lost {
            self.remove_granted(&request);
        }
    }

    fn apply_progress(&mut self, now_ms: u64, request: &RequestId, progress: &Progress) {
        match progress {
            Progress::FirstToken { .. } | Progress::Tokens { .. } => return,
            Progress::ConnectFailed => self.skip(now_ms, request),
            Progress::Abandoned
            | Progress::Cancelled
            | Progress::Crashed
            | Progress::Finished { .. }
            | Progress::Lost => {}
        }
        self.remove_granted(request);
    }

    fn server_mut(&mut self, name: &Name) -> Option<&mut BaselineServer> {
        let index = self.servers.binary_search_by(|server| server.name.cmp(name)).ok()?;
        self.servers.get_mut(index)
    }

    fn set_fleet(&mut self, inventory: &Inventory, leaving: &[Name]) {
        let before = std::mem::take(&mut self.servers);
        let own = inventory.backend_servers.iter().filter(|server| server.service == self.service);
        for server in own {
            let kept = before.iter().find(|kept| kept.name == server.name).cloned();
            let mut next = kept.unwrap_or_else(|| self.new_server(server.name.clone()));
            next.leaving = server.leaving || leaving.binary_search(&server.name).is_ok();
            self.servers.push(next);
        }
    }

    fn new_server(&self, name: Name) -> BaselineServer {
        let outstanding = self.granted.values().filter(|granted| **granted == name).count() as u32;
        BaselineServer { leaving: false, name, outstanding, reported: 0, skipped_until_ms: 0 }
    }

    fn record_load(&mut self, backend_server: &Name, report: &LoadReport) {
        if let Some(server) = self.server_mut(backend_server) {
            server.reported = report.running_requests;
        }
    }

    fn skip(&mut self, now_ms: u64, request: &RequestId) {
        let Some(backend_server) = self.granted.get(request).cloned() else { return };
        if let Some(server) = self.server_mut(&backend_server) {
            server.skipped_until_ms = now_ms + SKIP_MS;
        }
    }
}

fn state(server: &BaselineServer, now_ms: u64) -> &'static str {
    match server.leaving {
        true => "leaving",
        false if server.skipped_until_ms > now_ms => "down",
        false => "in_use",
    }
}
