//! A model of the receivers of one service, which sends random events to a coordinator and checks
//! each of its grants and refusals.

use std::collections::BTreeMap;

use bergamotspan::coordinator::{Coordinator, SETTLE_MS};
use bergamotspan::inventory::Inventory;
use bergamotspan::load_report::{CacheEvent, LoadReport};
use bergamotspan::name::Name;
use bergamotspan::now::Now;
use bergamotspan::request_id::RequestId;
use bergamotspan::scheduler::{BackendServerReport, Scheduler, SchedulerEffect, SchedulerEvent};
use bergamotspan::scheduling::{
    Grant, GrantRequest, Progress, Refusal, RefusalReason, RunningRequest,
};

use crate::schedulers::SERVICE;

/// Time after which a request with an unreported grant may be granted again, in milliseconds.
const GRANT_STANDS_MS: u64 = 3_000;
/// Time for which a server that failed gets no requests, in milliseconds.
const DOWN_MS: u64 = 500;
/// Time after which every request must have ended, in milliseconds.
const END_MS: u64 = 120_000;

/// Random fields of a grant request.
#[derive(Clone, Debug)]
pub struct GrantRequestShape {
    /// Index of the customer.
    pub customer: u8,
    /// Hash of the body.
    pub fingerprint: u64,
    /// Maximum number of tokens of the answer.
    pub max_output_tokens: u32,
    /// Whether the other instance sends it.
    pub other_instance: bool,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Rank of the tier.
    pub tier_rank: u8,
    /// Time to the deadline, in milliseconds.
    pub time_left_ms: u64,
}

#[derive(Clone, Debug)]
enum Status {
    Waiting,
    Granted { requested_again: bool, at_ms: u64, reported: bool, server: Name },
    Ended,
}

#[derive(Clone, Debug)]
struct Request {
    grant_request: GrantRequest,
    deadline_ms: u64,
    status: Status,
}

/// The receivers of one service, with their coordinator.
pub struct ReceiverModel {
    failed_ms: BTreeMap<Name, u64>,
    in_takeover: bool,
    inventory: std::sync::Arc<Inventory>,
    leaving: Vec<Name>,
    now_ms: u64,
    quarantined: Vec<u64>,
    requests: BTreeMap<RequestId, Request>,
    sequence: u64,
    started_ms: u64,
    coordinator: Coordinator,
    suspects: Vec<u64>,
}

impl ReceiverModel {
    /// Returns a model with a new coordinator and no requests.
    pub fn new(inventory: Inventory) -> Self {
        let mut model = Self {
            failed_ms: BTreeMap::new(),
            in_takeover: false,
            inventory: inventory.into(),
            leaving: Vec::new(),
            now_ms: 0,
            quarantined: Vec::new(),
            requests: BTreeMap::new(),
            sequence: 0,
            started_ms: 0,
            coordinator: Coordinator::new(SERVICE.into()),
            suspects: Vec::new(),
        };
        model.send_fleet();
        model
    }

    /// Advances the clock, in milliseconds.
    pub fn advance(&mut self, elapsed_ms: u64) {
        self.now_ms += elapsed_ms;
        self.deliver(SchedulerEvent::Tick);
    }

    /// Requests a grant.
    pub fn request_grant(&mut self, shape: GrantRequestShape) {
        self.sequence += 1;
        let instance = if shape.other_instance { "entry-2" } else { "entry-1" };
        let request =
            RequestId { instance: instance.into(), incarnation: 1, sequence: self.sequence };
        let grant_request = GrantRequest {
            customer: format!("customer-{}", shape.customer).into(),
            excluded: Vec::new(),
            fingerprint: shape.fingerprint,
            max_output_tokens: shape.max_output_tokens,
            prefix_hashes: vec![shape.fingerprint, shape.fingerprint + 100],
            prompt_tokens: shape.prompt_tokens,
            request: request.clone(),
            service: SERVICE.into(),
            tier_rank: shape.tier_rank,
            time_left_ms: shape.time_left_ms,
        };
        let deadline_ms = self.now_ms.saturating_add(shape.time_left_ms);
        let status = Status::Waiting;
        self.requests
            .insert(request, Request { grant_request: grant_request.clone(), deadline_ms, status });
        self.deliver(SchedulerEvent::GrantRequest(grant_request));
    }

    /// Reports cache events of an engine.
    pub fn cache_events(&mut self, engine: u8, events: Vec<CacheEvent>) {
        let backend_server = format!("e{engine}").into();
        self.deliver(SchedulerEvent::CacheEvents { backend_server, events });
    }

    /// Reports a failed connection of a granted request, and requests another grant.
    pub fn connect_failed_and_request_again(&mut self, pick: usize) {
        let Some((request, server)) = self.pick_granted(pick) else { return };
        if self.was_requested_again(&request) {
            return;
        }
        self.failed_ms.insert(server.clone(), self.now_ms);
        let now_ms = self.now_ms;
        let entry = self.requests.get_mut(&request).unwrap();
        entry.grant_request.excluded.push(server);
        entry.grant_request.excluded.sort();
        entry.grant_request.time_left_ms = entry.deadline_ms.saturating_sub(now_ms);
        entry.status = Status::Ended;
        let grant_request = entry.grant_request.clone();
        let progress = Progress::ConnectFailed;
        self.deliver(SchedulerEvent::Progress { progress, request: request.clone() });
        self.requests.get_mut(&request).unwrap().status = Status::Waiting;
        self.deliver(SchedulerEvent::GrantRequest(grant_request));
    }

    /// Reports an instance as lost, which ends its requests.
    pub fn instance_lost(&mut self, other_instance: bool) {
        let instance: Name = if other_instance { "entry-2" } else { "entry-1" }.into();
        for (request, entry) in &mut self.requests {
            if request.instance == instance {
                entry.status = Status::Ended;
            }
        }
        self.deliver(SchedulerEvent::InstanceLost { instance });
    }

    /// Marks the engines of a bit mask as leaving.
    pub fn leaving(&mut self, mask: u8) {
        let names = (0..4).filter(|engine| mask & (1 << engine) != 0);
        self.leaving = names.map(|engine| format!("e{engine}").into()).collect();
        self.send_fleet();
    }

    /// Reports the load of an engine.
    pub fn load(&mut self, engine: u8, report: LoadReport) {
        let backend_server = format!("e{engine}").into();
        self.deliver(SchedulerEvent::LoadReport { backend_server, report });
    }

    /// Reports progress of a granted request.
    pub fn progress(&mut self, pick: usize, progress: Progress) {
        let Some((request, server)) = self.pick_granted(pick) else { return };
        if progress == Progress::ConnectFailed && self.was_requested_again(&request) {
            return;
        }
        match progress {
            Progress::FirstToken { .. } | Progress::Tokens { .. } => self.mark_reported(&request),
            Progress::ConnectFailed | Progress::Crashed | Progress::Lost => {
                self.failed_ms.insert(server, self.now_ms);
                self.requests.get_mut(&request).unwrap().status = Status::Ended;
            }
            Progress::Abandoned | Progress::Cancelled | Progress::Finished { .. } => {
                self.requests.get_mut(&request).unwrap().status = Status::Ended;
            }
        }
        if progress == Progress::Abandoned {
            self.deliver(SchedulerEvent::Withdraw { request: request.clone() });
        }
        self.deliver(SchedulerEvent::Progress { progress, request });
    }

    /// Sets quarantined and suspect fingerprints.
    pub fn quarantine(&mut self, quarantined: Vec<u64>, suspects: Vec<u64>) {
        self.quarantined = quarantined.clone();
        self.suspects = suspects.clone();
        self.deliver(SchedulerEvent::Quarantine { quarantined, suspects });
    }

    /// Sends the grant request again of a request that waits or whose grant may have been lost.
    ///
    /// A receiver requests no grant after the first token of a request; such requests are tested
    /// all the same until the deadline.
    pub fn resend(&mut self, pick: usize) {
        let may_request_grant = |entry: &Request| match entry.status {
            Status::Ended => false,
            Status::Granted { reported: true, .. } => entry.deadline_ms > self.now_ms,
            Status::Granted { .. } | Status::Waiting => true,
        };
        let live = self.requests.iter().filter(|(_, entry)| may_request_grant(entry));
        let live: Vec<RequestId> = live.map(|(request, _)| request.clone()).collect();
        let Some(request) = live.get(pick % live.len().max(1)) else { return };
        let now_ms = self.now_ms;
        let entry = self.requests.get_mut(request).unwrap();
        entry.grant_request.time_left_ms = entry.deadline_ms.saturating_sub(now_ms);
        if let Status::Granted { requested_again, reported: false, .. } = &mut entry.status {
            *requested_again = true;
        }
        let grant_request = entry.grant_request.clone();
        self.deliver(SchedulerEvent::GrantRequest(grant_request));
    }

    /// Replaces the coordinator; the receivers send waiting and running requests to the new one.
    pub fn takeover(&mut self) {
        self.in_takeover = true;
        self.coordinator = Coordinator::new(SERVICE.into());
        self.started_ms = self.now_ms;
        self.failed_ms.clear();
        self.send_fleet();
        let (quarantined, suspects) = (self.quarantined.clone(), self.suspects.clone());
        self.quarantine(quarantined, suspects);
        let requests: Vec<RequestId> = self.requests.keys().cloned().collect();
        for request in requests {
            self.report_to_new_coordinator(&request);
        }
        self.in_takeover = false;
        self.check_waiting();
    }

    /// Withdraws a waiting request.
    pub fn withdraw(&mut self, pick: usize) {
        let waiting = self.requests.iter().filter(|(_, e)| matches!(e.status, Status::Waiting));
        let waiting: Vec<RequestId> = waiting.map(|(request, _)| request.clone()).collect();
        let Some(request) = waiting.get(pick % waiting.len().max(1)) else { return };
        self.requests.get_mut(request).unwrap().status = Status::Ended;
        self.deliver(SchedulerEvent::Withdraw { request: request.clone() });
    }

    /// Advances past all deadlines and checks that no grant request was lost.
    pub fn finish(&mut self) {
        self.now_ms += END_MS;
        self.deliver(SchedulerEvent::Tick);
        for (request, entry) in &self.requests {
            assert!(!matches!(entry.status, Status::Waiting), "{request} was lost");
        }
        let report = self.coordinator.report(self.now());
        let running: u32 = report.backend_servers.iter().map(|s| s.running_requests).sum();
        let tokens: u64 = report.backend_servers.iter().map(|s| s.running_tokens).sum();
        assert_eq!((running, tokens), (0, 0), "requests or tokens stay in progress");
        assert_eq!(report.waiting, vec![]);
    }

    fn report_to_new_coordinator(&mut self, request: &RequestId) {
        let now_ms = self.now_ms;
        let Some(entry) = self.requests.get_mut(request) else { return };
        entry.grant_request.time_left_ms = entry.deadline_ms.saturating_sub(now_ms);
        let grant_request = entry.grant_request.clone();
        match &mut entry.status {
            Status::Ended => {}
            Status::Waiting => self.deliver(SchedulerEvent::GrantRequest(grant_request)),
            Status::Granted { requested_again, reported, server, .. } => {
                (*requested_again, *reported) = (false, true);
                let backend_server = server.clone();
                let running = RunningRequest { backend_server, grant_request, output_tokens: 0 };
                self.deliver(SchedulerEvent::Running(running));
            }
        }
    }

    fn send_fleet(&mut self) {
        let (inventory, leaving) = (self.inventory.clone(), self.leaving.clone());
        self.deliver(SchedulerEvent::Fleet { inventory, leaving });
    }

    fn mark_reported(&mut self, request: &RequestId) {
        if let Status::Granted { requested_again, reported, .. } =
            &mut self.requests.get_mut(request).unwrap().status
        {
            (*requested_again, *reported) = (false, true);
        }
    }

    fn was_requested_again(&self, request: &RequestId) -> bool {
        matches!(self.requests[request].status, Status::Granted { requested_again: true, .. })
    }

    fn pick_granted(&self, pick: usize) -> Option<(RequestId, Name)> {
        let granted = self.requests.iter().filter_map(|(request, entry)| match &entry.status {
            Status::Granted { server, .. } => Some((request.clone(), server.clone())),
            Status::Waiting | Status::Ended => None,
        });
        let granted: Vec<(RequestId, Name)> = granted.collect();
        granted.get(pick % granted.len().max(1)).cloned()
    }

    fn now(&self) -> Now {
        Now { monotonic_ms: self.now_ms, wall_clock_ms: 0 }
    }

    fn deliver(&mut self, event: SchedulerEvent) {
        let effects = self.coordinator.decide(self.now(), event);
        for effect in &effects {
            match effect {
                SchedulerEffect::Grant(grant) => self.check_grant(grant),
                SchedulerEffect::Refuse(refusal) => self.check_refusal(refusal),
            }
        }
        for effect in &effects {
            if let SchedulerEffect::Grant(grant) = effect {
                self.check_limit_and_tier_order(grant);
            }
        }
        if !self.in_takeover {
            self.check_waiting();
        }
    }

    fn check_grant(&mut self, grant: &Grant) {
        assert!(self.now_ms >= self.started_ms + SETTLE_MS, "granted before it settled");
        assert!(!self.leaving.contains(&grant.backend_server), "granted a leaving server");
        let failed_ms = self.failed_ms.get(&grant.backend_server);
        let down = failed_ms.is_some_and(|failed_ms| self.now_ms < failed_ms + DOWN_MS);
        assert!(!down, "granted a server that is down");
        let entry = &self.requests[&grant.request];
        assert!(self.may_be_granted(entry), "granted {grant:?} as {:?}", entry.status);
        assert!(
            !entry.grant_request.excluded.contains(&grant.backend_server),
            "granted an excluded server"
        );
        assert!(
            !self.quarantined.contains(&entry.grant_request.fingerprint),
            "granted in quarantine"
        );
        assert!(!self.runs_duplicate(&entry.grant_request), "granted a suspect twice at once");
        let (at_ms, server) = (self.now_ms, grant.backend_server.clone());
        let status = Status::Granted { requested_again: false, at_ms, reported: false, server };
        self.requests.get_mut(&grant.request).unwrap().status = status;
    }

    fn may_be_granted(&self, entry: &Request) -> bool {
        match &entry.status {
            Status::Waiting => entry.deadline_ms > self.now_ms,
            Status::Granted { requested_again, at_ms, .. } => {
                *requested_again && self.now_ms >= at_ms + GRANT_STANDS_MS
            }
            Status::Ended => false,
        }
    }

    /// Returns whether the coordinator may assume that a duplicate of a suspect is running.
    fn may_run_duplicate(&self, grant_request: &GrantRequest) -> bool {
        let mut duplicates = self.duplicates(grant_request);
        let suspect = self.suspects.contains(&grant_request.fingerprint);
        suspect && duplicates.any(|entry| matches!(entry.status, Status::Granted { .. }))
    }

    fn duplicates<'a>(
        &'a self,
        grant_request: &'a GrantRequest,
    ) -> impl Iterator<Item = &'a Request> {
        let other = |entry: &&Request| entry.grant_request.request != grant_request.request;
        let is_duplicate =
            |entry: &&Request| entry.grant_request.fingerprint == grant_request.fingerprint;
        self.requests.values().filter(other).filter(is_duplicate)
    }

    /// Returns whether a duplicate of a suspect is certainly running.
    fn runs_duplicate(&self, grant_request: &GrantRequest) -> bool {
        let suspect = self.suspects.contains(&grant_request.fingerprint);
        let mut running = self.duplicates(grant_request).filter(|entry| match &entry.status {
            Status::Granted { at_ms, reported: false, .. } => self.now_ms < at_ms + GRANT_STANDS_MS,
            Status::Granted { reported: true, .. } => self.now_ms < entry.deadline_ms,
            Status::Waiting | Status::Ended => false,
        });
        suspect && running.next().is_some()
    }

    fn check_refusal(&mut self, refusal: &Refusal) {
        let entry = &self.requests[&refusal.request];
        let requested_again = matches!(entry.status, Status::Granted { requested_again: true, .. });
        let waits = matches!(entry.status, Status::Waiting);
        assert!(waits || requested_again, "refused {refusal:?} as {:?}", entry.status);
        let on_time = entry.deadline_ms > self.now_ms;
        let for_load = match refusal.reason {
            RefusalReason::CannotFinishInTime => on_time,
            RefusalReason::NoRoom => true,
            RefusalReason::NoBackendServer | RefusalReason::Quarantined => false,
        };
        let rank = entry.grant_request.tier_rank;
        let lower_waits = self.waiting().any(|waiting| waiting.grant_request.tier_rank > rank);
        assert!(!(for_load && lower_waits), "refused {refusal:?} while a lower tier waits");
        self.requests.get_mut(&refusal.request).unwrap().status = Status::Ended;
    }

    /// Checks the limit, and that no waiting request of a higher tier would have fitted instead.
    fn check_limit_and_tier_order(&self, grant: &Grant) {
        let server = self.server(&grant.backend_server);
        let within = server.running_tokens <= server.limit_tokens;
        assert!(within || server.running_requests == 1, "beyond the limit: {server:?}");
        if server.state != "in_use" {
            return;
        }
        let granted = &self.requests[&grant.request].grant_request;
        let before_tokens = server.running_tokens.saturating_sub(u64::from(granted.prompt_tokens));
        let room_tokens = server.limit_tokens.saturating_sub(before_tokens);
        for entry in
            self.waiting().filter(|entry| entry.grant_request.tier_rank < granted.tier_rank)
        {
            let grant_request = &entry.grant_request;
            let cost_tokens =
                u64::from(grant_request.prompt_tokens) + u64::from(grant_request.max_output_tokens);
            let fits = cost_tokens <= room_tokens;
            let is_candidate = !entry.grant_request.excluded.contains(&grant.backend_server)
                && !self.may_run_duplicate(&entry.grant_request);
            assert!(!(fits && is_candidate), "granted {grant:?} before {:?}", entry.grant_request);
        }
    }

    fn check_waiting(&self) {
        let report = self.coordinator.report(self.now());
        let reported: u32 = report.waiting.iter().map(|(_, count)| count).sum();
        let waiting = self.waiting().count() as u32;
        let requested_again = self
            .requests
            .values()
            .filter(|entry| matches!(entry.status, Status::Granted { requested_again: true, .. }))
            .count() as u32;
        assert!(reported >= waiting, "{waiting} wait, {reported} are reported");
        assert!(reported <= waiting + requested_again, "{waiting} wait, {reported} are reported");
    }

    fn server(&self, name: &Name) -> BackendServerReport {
        let report = self.coordinator.report(self.now());
        report.backend_servers.into_iter().find(|server| *server.name == **name).unwrap()
    }

    fn waiting(&self) -> impl Iterator<Item = &Request> {
        self.requests.values().filter(|entry| matches!(entry.status, Status::Waiting))
    }
}
