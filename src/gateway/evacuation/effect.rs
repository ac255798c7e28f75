//! Keeps backend servers of evacuated data centres out of every choice, and checks a place again
//! before it is used.

use crate::gateway::admission::{PlanCharge, Refusal, RefusalReason, RequestPlan};
use crate::gateway::backend::{Backend, BackendStatus};
use crate::gateway::backends::Backends;
use crate::gateway::fleet::message::GrantedPlace;
use crate::gateway::state::GatewayState;
use crate::name::Name;

impl Backends {
    /// Sets the evacuated data centres, sorted by name; one of which no backend server is known counts
    /// as soon as there is one.
    pub fn set_evacuated(&mut self, data_centres: &[Name]) {
        if self.evacuated != data_centres {
            self.evacuated = data_centres.to_vec();
            self.arrange_pools();
        }
    }

    /// Returns whether a data centre is evacuated.
    pub fn is_evacuated(&self, data_centre: &Name) -> bool {
        self.evacuated.binary_search(data_centre).is_ok()
    }

    /// Returns whether the data centre of a backend server is evacuated.
    pub fn stands_evacuated(&self, id: &str) -> bool {
        self.get(id).is_some_and(|backend| self.is_evacuated(&backend.record.data_centre))
    }

    /// Returns whether a backend server takes new work.
    pub(crate) fn takes_new_work(&self, backend: &Backend) -> bool {
        backend.status == BackendStatus::Usable && !self.is_evacuated(&backend.record.data_centre)
    }

    /// Returns whether a service has backend servers that would serve, and all are evacuated.
    pub fn is_closed(&self, service: &Name) -> bool {
        self.closed_services.binary_search(service).is_ok()
    }

    /// Returns the services all of whose usable backend servers are evacuated, sorted.
    pub(crate) fn find_closed_services(&self) -> Vec<Name> {
        if self.evacuated.is_empty() {
            return Vec::new();
        }
        let mut services: Vec<(Name, bool)> = self
            .usable()
            .map(|backend| (backend.record.service.clone(), !self.takes_new_work(backend)))
            .collect();
        // An open server sorts before the closed ones of its service.
        services.sort();
        services.dedup_by(|next, kept| next.0 == kept.0);
        services.into_iter().filter(|(_, is_closed)| *is_closed).map(|(name, _)| name).collect()
    }
}

impl GatewayState {
    /// Returns the refusal of a request that no backend server may take since all of its service are
    /// evacuated; the caller learns it at once.
    pub(crate) fn refusal_if_closed(
        &self,
        now_ms: u64,
        service: &Name,
        deadline_ms: u64,
    ) -> Option<Refusal> {
        let retry_after_ms = || self.retry_after_ms(now_ms, deadline_ms);
        let is_closed = self.backends.is_closed(service);
        is_closed.then(|| Refusal::retryable(RefusalReason::Evacuated, retry_after_ms()))
    }

    /// Returns whether a place that a coordinator granted may be used. One that lacks an evacuation, or
    /// is of a build that does not know them, may grant others: such a place is given back, and the
    /// request, whose units that coordinator has taken, is decided here.
    pub fn may_accept(&self, plan: &mut RequestPlan, place: &GrantedPlace) -> bool {
        if self.may_send_to(&place.backend_server) {
            return true;
        }
        if plan.charge == PlanCharge::Pending {
            plan.charge = PlanCharge::Settled;
        }
        false
    }

    /// Returns whether a request may still be sent to a backend server that was chosen before.
    pub fn may_send_to(&self, backend_server: &str) -> bool {
        !self.backends.stands_evacuated(backend_server)
    }
}
