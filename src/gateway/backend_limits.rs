//! The limits of backend servers, as the choice of one sees them: what of them this instance may use,
//! and which servers are cold.

use crate::gateway::backend::Backend;
use crate::gateway::backends::Backends;
use crate::gateway::engine_query::{EngineQuery, expected_loss};
use crate::gateway::rate_limit::cold::{ColdBounds, ColdLeft, ColdNews};
use crate::gateway::rate_limit::{LimitShares, LimitStatement, LimitedServers};
use crate::gateway::store_item::StoreItem;
use crate::name::Name;

impl Backends {
    /// Returns whether the limits of a backend server allow this instance to send or grant a request.
    pub(crate) fn admits(&self, now_ms: u64, backend: &Backend) -> bool {
        self.limit_wait_ms(now_ms, backend) == Some(0)
    }

    fn limit_wait_ms(&self, now_ms: u64, backend: &Backend) -> Option<u64> {
        backend.limits.wait_ms(now_ms, self.limit_shares_at(backend))
    }

    /// Returns the shares of the limits of a backend server that this instance may use: none if the
    /// coordinator of another cell grants its places.
    fn limit_shares_at(&self, backend: &Backend) -> LimitShares {
        if backend.is_own { self.limit_shares } else { LimitShares::default() }
    }

    /// Sets the shares of the limits of backend servers that this instance may use.
    pub fn set_limit_shares(&mut self, now_ms: u64, shares: LimitShares) {
        let before = std::mem::replace(&mut self.limit_shares, shares);
        if before != shares {
            for backend in &mut self.list {
                backend.limits.change_shares(now_ms, before, shares);
            }
        }
    }

    /// Takes a request that is sent from the limits of a backend server; it is a trial of one that is
    /// ejected.
    pub fn take_allowance(&mut self, now_ms: u64, id: &str) {
        let Ok(index) = self.find(id) else { return };
        let shares = self.limit_shares_at(&self.list[index]);
        self.list[index].limits.take(now_ms, shares);
        self.list[index].outcomes.begin_send(now_ms);
    }

    /// Takes a request from what a backend server bears while it is cold; returns whether this
    /// instance may send it.
    pub fn take_cold(&mut self, now_ms: u64, id: &str) -> bool {
        let Ok(index) = self.find(id) else { return true };
        let permille = self.limit_shares_at(&self.list[index]).cold_permille;
        let cold = &mut self.list[index].limits.cold;
        let may_send = cold.wait_ms(now_ms, permille) == Some(0);
        if may_send {
            cold.take(now_ms, permille);
        }
        may_send
    }

    /// Returns the time until the limits of a service's backend servers allow a request, in
    /// milliseconds; `None` if none of them has a limit, or this instance may not use it.
    pub fn limited_for_ms(&self, now_ms: u64, service: &str) -> Option<u64> {
        let limited = self.of_service(service, &[]);
        let limited = limited.filter(|known| known.limits.millirequests_per_s(now_ms).is_some());
        limited.filter_map(|known| self.limit_wait_ms(now_ms, known)).min()
    }

    /// Returns how many backend servers of a service have a limit, and the smallest one.
    pub fn limited_servers(&self, now_ms: u64, service: &str) -> LimitedServers {
        let rates = self.of_service(service, &[]);
        let rates = rates.filter_map(|known| known.limits.millirequests_per_s(now_ms));
        rates.fold(LimitedServers::default(), |limited, rate| LimitedServers {
            count: limited.count + 1,
            least: Some(limited.least.map_or(rate, |least| least.min(rate))),
        })
    }

    /// Sets what the cold servers of services bear, and the part of a request with which an allowance
    /// begins, in thousandths.
    pub fn set_cold_bounds(&mut self, mut bounds: Vec<(Name, ColdBounds)>, part_permille: u64) {
        bounds.sort_by(|(left, _), (right, _)| left.cmp(right));
        self.cold_bounds = bounds;
        self.cold_part_permille = part_permille;
        let mut list = std::mem::take(&mut self.list);
        for backend in &mut list {
            let bounds = self.cold_bounds_of(&backend.record.service);
            backend.limits.cold.set_bounds(bounds, part_permille);
        }
        self.list = list;
    }

    pub(crate) fn cold_bounds_of(&self, service: &str) -> ColdBounds {
        let index = self.cold_bounds.binary_search_by(|(known, _)| (**known).cmp(service));
        index.map(|index| self.cold_bounds[index].1).unwrap_or_default()
    }

    /// Merges news of how long a run of a backend server stays cold; returns whether they are later
    /// than those known.
    pub fn merge_cold(
        &mut self,
        now_ms: u64,
        id: &str,
        born_ms: Option<u64>,
        news: ColdNews,
    ) -> bool {
        let Some(backend) = self.get_mut(id) else { return false };
        backend.record.born_ms == born_ms && backend.limits.cold.merge(now_ms, news)
    }

    /// Returns the backend servers that have turned cold or warm since the last call.
    pub fn take_cold_changes(&mut self, now_ms: u64) -> Vec<Name> {
        let changed = self.list.iter_mut();
        let changed = changed.filter_map(|backend| {
            backend.limits.cold.take_change(now_ms).map(|_| backend.id.clone())
        });
        changed.collect()
    }

    /// Returns whether a backend server is cold.
    pub fn is_cold(&self, now_ms: u64, id: &str) -> bool {
        self.get(id).is_some_and(|known| known.limits.cold.is_cold(now_ms))
    }

    /// Returns whether a service has a backend server in this cell that is not cold.
    pub fn has_warm(&self, now_ms: u64, service: &str) -> bool {
        let mut known = self.of_service(service, &[]).filter(|known| known.is_own);
        known.any(|known| known.may_serve(now_ms) && !known.limits.cold.is_cold(now_ms))
    }

    /// Returns the expected loss of a model request at a backend server, in units of its value.
    pub fn expected_loss(&self, now_ms: u64, id: &str, query: &EngineQuery) -> f64 {
        self.get(id).map_or(f64::MAX, |known| expected_loss(now_ms, known, query))
    }

    /// Sets the mean time that a model request occupies a slot, in milliseconds.
    pub fn set_slot_time(&mut self, slot_ms: f64) {
        self.slot_ms = slot_ms;
    }

    /// Returns the number of usable backend servers that are cold.
    pub fn cold_count(&self, now_ms: u64) -> usize {
        self.usable().filter(|known| known.limits.cold.is_cold(now_ms)).count()
    }

    /// Returns the backend servers that are cold for another reason than their records.
    pub fn told_cold(&self, now_ms: u64) -> impl Iterator<Item = &Backend> {
        self.list.iter().filter(move |backend| backend.limits.cold.is_told(now_ms))
    }

    /// Sets how long backend servers stay cold in records that are passed on.
    pub fn update_cold_left(&self, now_ms: u64, items: &mut [StoreItem]) {
        for item in items {
            let StoreItem::Backend { id, record: Ok(record) } = item else { continue };
            let known = self.get(id).filter(|known| known.record.is_same_run(record));
            let known = known.filter(|known| known.record.sequence == record.sequence);
            if let (Some(known), ColdLeft::Ms(_)) = (known, record.cold_left) {
                let left_ms = known.limits.cold.latest().map(|news| news.until_ms);
                let left_ms = left_ms.unwrap_or_default().saturating_sub(now_ms);
                record.cold_left = ColdLeft::Ms(left_ms);
            }
        }
    }

    /// Merges what is stated of the limit of a run of a backend server; returns whether it changed.
    pub fn merge_limit(
        &mut self,
        now_ms: u64,
        id: &str,
        born_ms: Option<u64>,
        statement: LimitStatement,
    ) -> bool {
        let Some(backend) = self.get_mut(id) else { return false };
        backend.record.born_ms == born_ms && backend.limits.stated.merge(now_ms, statement)
    }

    /// Returns the backend servers of which a limit is told to other instances.
    pub fn told_limits(&self, now_ms: u64) -> impl Iterator<Item = (&Backend, LimitStatement)> {
        let told = self.list.iter();
        told.filter_map(move |backend| Some((backend, backend.limits.stated.told(now_ms)?)))
    }

    /// Returns the requests that a backend server can be sent now.
    pub(crate) fn free_places(&self, now_ms: u64, backend: &Backend) -> usize {
        if !self.admits(now_ms, backend) {
            return 0;
        }
        let permille = self.limit_shares_at(backend).cold_permille;
        let requests = backend.limits.cold.requests(now_ms, permille);
        backend.free_slots().min(requests.unwrap_or(usize::MAX))
    }
}
