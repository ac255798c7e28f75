//! Creates and ends the schedulers of the services that this instance coordinates, passes events to
//! them and sends their grants and refusals to the receivers.

use crate::coordinator::Coordinator;
use crate::core::Core;
use crate::effect::{Effect, PollTarget};
use crate::inventory::ServiceKind;
use crate::least_outstanding::LeastOutstanding;
use crate::metric::Counter;
use crate::name::Name;
use crate::now::Now;
use crate::peer_message::PeerMessage;
use crate::round_robin::RoundRobin;
use crate::scheduler::{Scheduler, SchedulerEffect, SchedulerEvent};
use crate::scheduling::{Grant, Refusal};
use crate::settings::Policy;

impl Core {
    /// Creates the schedulers of the services that this instance coordinates, and ends idle
    /// schedulers of the other services.
    pub(crate) fn assign_coordinators(&mut self, now: Now) {
        let services: Vec<Name> =
            self.inventory.services.iter().map(|service| service.name.clone()).collect();
        for service in services {
            if self.coordinator_of(&service) == self.own_name() {
                self.ensure_scheduler(now, &service);
            }
        }
        self.end_idle_schedulers(now);
        let targets = self.poll_targets();
        self.effects.push(Effect::PollLoad(targets));
    }

    /// Ends the schedulers that had work left when another instance became the coordinator.
    ///
    /// Once in a confirmation window, so that one which still gets requests from an instance that
    /// sees fewer live ones is seldom replaced between two of them.
    pub(crate) fn end_former_coordinators(&mut self, now: Now) {
        if now.monotonic_ms < self.next_idle_check_ms {
            return;
        }
        self.next_idle_check_ms = now.monotonic_ms + self.settings.peer.confirmation_window_ms;
        let count = self.schedulers.len();
        self.end_idle_schedulers(now);
        if self.schedulers.len() < count {
            let targets = self.poll_targets();
            self.effects.push(Effect::PollLoad(targets));
        }
    }

    /// Sends an event to the scheduler of a service, which is created if this instance has none:
    /// another instance may see fewer live instances and choose this one as the coordinator.
    pub(crate) fn send_to_scheduler(&mut self, now: Now, service: &Name, event: SchedulerEvent) {
        if self.inventory.service(service).is_none() {
            return;
        }
        let index = self.ensure_scheduler(now, service);
        let effects = self.schedulers[index].1.decide(now, event);
        self.apply_scheduler_effects(now, effects);
    }

    /// Sends an event to all schedulers of this instance.
    pub(crate) fn send_to_schedulers(&mut self, now: Now, event: &SchedulerEvent) {
        let mut effects = Vec::new();
        for (_, scheduler) in &mut self.schedulers {
            effects.extend(scheduler.decide(now, event.clone()));
        }
        self.apply_scheduler_effects(now, effects);
    }

    pub(crate) fn tick_schedulers(&mut self, now: Now) {
        self.send_to_schedulers(now, &SchedulerEvent::Tick);
    }

    pub(crate) fn fleet_event(&self) -> SchedulerEvent {
        SchedulerEvent::Fleet {
            inventory: self.cell_inventory.clone(),
            leaving: self.leaving.clone(),
        }
    }

    fn apply_scheduler_effects(&mut self, now: Now, effects: Vec<SchedulerEffect>) {
        for effect in effects {
            match effect {
                SchedulerEffect::Grant(grant) => {
                    self.effects.push(Effect::Count { amount: 1, counter: Counter::Grants });
                    self.send_grant(now, grant);
                }
                SchedulerEffect::Refuse(refusal) => {
                    let counter = Counter::Refusals { reason: refusal.reason };
                    self.effects.push(Effect::Count { amount: 1, counter });
                    self.send_refusal(now, refusal);
                }
            }
        }
    }

    fn end_idle_schedulers(&mut self, now: Now) {
        let own_name = self.own_name();
        let (kept, ended): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.schedulers).into_iter().partition(|(service, scheduler)| {
                self.coordinator_of(service) == own_name || !is_idle(scheduler.as_ref(), now)
            });
        self.schedulers = kept;
        for (service, _) in ended {
            self.log("steward", format!("No longer coordinator of service {service}."));
        }
    }

    fn ensure_scheduler(&mut self, now: Now, service: &Name) -> usize {
        let index = match self.schedulers.binary_search_by(|(name, _)| name.cmp(service)) {
            Ok(index) => return index,
            Err(index) => index,
        };
        let mut scheduler: Box<dyn Scheduler> = match self.settings.dispatch.policy {
            Policy::LeastOutstanding => Box::new(LeastOutstanding::new(service.clone())),
            Policy::RoundRobin => Box::new(RoundRobin::new(service.clone())),
            Policy::Coordinator => Box::new(Coordinator::new(service.clone())),
        };
        let mut effects = scheduler.decide(now, self.fleet_event());
        effects.extend(scheduler.decide(now, self.quarantine_event()));
        self.schedulers.insert(index, (service.clone(), scheduler));
        self.log("steward", format!("Became coordinator of service {service}."));
        self.apply_scheduler_effects(now, effects);
        let targets = self.poll_targets();
        self.effects.push(Effect::PollLoad(targets));
        index
    }

    fn send_grant(&mut self, now: Now, grant: Grant) {
        if grant.request.instance == self.own_name() {
            let own_name = self.own_name();
            self.receive_grant(now, &own_name, grant);
            return;
        }
        let to = grant.request.instance.clone();
        self.send(&to, PeerMessage::Grant(grant));
    }

    fn send_refusal(&mut self, now: Now, refusal: Refusal) {
        if refusal.request.instance == self.own_name() {
            self.receive_refusal(now, refusal);
            return;
        }
        let to = refusal.request.instance.clone();
        self.send(&to, PeerMessage::Refusal(refusal));
    }

    fn poll_targets(&self) -> Vec<PollTarget> {
        let is_polled = |service: &Name| {
            let is_model = self
                .inventory
                .service(service)
                .is_some_and(|service| service.kind != ServiceKind::Plain);
            is_model && self.schedulers.binary_search_by(|(name, _)| name.cmp(service)).is_ok()
        };
        self.cell_inventory
            .backend_servers
            .iter()
            .filter(|backend_server| is_polled(&backend_server.service))
            .map(|backend_server| PollTarget {
                address: backend_server.address,
                backend_server: backend_server.name.clone(),
                service: backend_server.service.clone(),
            })
            .collect()
    }
}

fn is_idle(scheduler: &dyn Scheduler, now: Now) -> bool {
    let report = scheduler.report(now);
    let running = report.backend_servers.iter().any(|server| server.running_requests > 0);
    scheduler.lowest_waiting_rank().is_none() && !running
}
