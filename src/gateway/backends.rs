//! Keeps all known backend servers and chooses one for a request.

use crate::gateway::backend::{Backend, BackendLoad, BackendStatus};
use crate::gateway::backend_record::BackendRecord;
use crate::gateway::engine_query::{EngineQuery, VersionNeed, expected_loss};
use crate::gateway::fleet::cells::{CellLayout, cell_of};
use crate::gateway::fleet::message::{EngineReport, LeavingServer};
use crate::gateway::rate_limit::LimitShares;
use crate::gateway::rate_limit::cold::ColdBounds;
use crate::gateway::request_metadata::PromptShape;
use crate::gateway::software_versions::{PresentVersion, SoftwareVersions};
use crate::gateway::store_item::StoreItem;
use crate::name::Name;

/// Time for which a removed backend server is kept as gone, so that late records do not add it
/// again, in milliseconds.
const GONE_EXPIRY_MS: u64 = 60_000;
/// Fewest backend servers of a service per cell for which each cell has some of them; a smaller
/// service is coordinated by one cell for all instances.
const MIN_BACKENDS_PER_CELL: usize = 3;
/// Weight of the share of failures in the choice of a backend server for a plain request.
const FAILURE_WEIGHT: f64 = 6.0;

/// All known backend servers, sorted by id.
#[derive(Clone, Debug, Default)]
pub struct Backends {
    /// Services all of whose usable backend servers are evacuated, sorted.
    pub(crate) closed_services: Vec<Name>,
    /// Evacuated data centres, sorted.
    pub(crate) evacuated: Vec<Name>,
    layout: CellLayout,
    /// What cold servers bear, by service, sorted by its name.
    pub(crate) cold_bounds: Vec<(Name, ColdBounds)>,
    /// Part of a request with which an allowance for a cold server begins, in thousandths.
    pub(crate) cold_part_permille: u64,
    /// Shares of the limits of backend servers that this instance may use.
    pub(crate) limit_shares: LimitShares,
    pub(crate) list: Vec<Backend>,
    /// Mean time that a model request occupies a slot, in milliseconds; 0 before the first sample.
    pub(crate) slot_ms: f64,
    /// Pools by service, sorted by its name.
    pools: Vec<Pool>,
}

/// The backend servers of one service that take new work, as indices into the list.
#[derive(Clone, Debug, Default)]
struct Pool {
    all: Vec<usize>,
    /// Those from which this instance's cell chooses.
    cell: Vec<usize>,
    /// Cell that coordinates the service.
    coordinating_cell: usize,
    /// Whether each cell has some of them.
    is_divided: bool,
    service: Name,
}

/// Change made by a record or its removal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordChange {
    /// A backend server became usable.
    Arrived,
    /// A backend server accepts no new requests from now on.
    Left,
    /// The record is older than the known one.
    Outdated,
    /// A known backend server was restarted.
    Restarted,
    /// No relevant change.
    Unchanged,
}

/// Choice of a backend server for a model request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineChoice {
    /// No candidate has a free slot.
    AllBusy,
    /// Id of the chosen backend server.
    Chosen(Name),
    /// There is no candidate at present.
    NoneUsable,
}

impl Backends {
    /// Inserts or updates a backend server from its record.
    pub fn upsert(&mut self, now_ms: u64, id: &Name, record: BackendRecord) -> RecordChange {
        let before = self.get(id).map(|known| known.record.data_centre.clone());
        let moves = before.is_some_and(|data_centre| data_centre != record.data_centre);
        let change = self.apply_record(now_ms, id, record);
        if change != RecordChange::Unchanged || moves {
            self.arrange_pools();
        }
        change
    }

    fn apply_record(&mut self, now_ms: u64, id: &Name, record: BackendRecord) -> RecordChange {
        let index = match self.find(id) {
            Err(index) => {
                let leaving = record.leaving;
                let cold_bounds = self.cold_bounds_of(&record.service);
                let (sequence, cold_left) = (record.sequence, record.cold_left);
                let mut backend = Backend::new(id.clone(), record);
                backend.limits.cold.set_bounds(cold_bounds, self.cold_part_permille);
                backend.limits.cold.merge_record(now_ms, sequence, cold_left);
                if leaving {
                    backend.status = BackendStatus::Leaving;
                }
                self.list.insert(index, backend);
                return if leaving { RecordChange::Left } else { RecordChange::Arrived };
            }
            Ok(index) => index,
        };
        let cold_bounds = self.cold_bounds_of(&record.service);
        let backend = &mut self.list[index];
        if record.is_older_than(&backend.record) {
            return RecordChange::Outdated;
        }
        let was_usable = backend.status == BackendStatus::Usable;
        let restarted = !record.is_same_run(&backend.record);
        // Once the record itself has said so, a later one may say otherwise.
        let announced_leaving = backend.announced_leaving && !restarted && !record.leaving;
        let leaving = record.leaving || announced_leaving;
        let status = if leaving { BackendStatus::Leaving } else { BackendStatus::Usable };
        let (sequence, cold_left) = (record.sequence, record.cold_left);
        // The same record may be read again, and says no more than before.
        let is_news = restarted || sequence != backend.record.sequence;
        if restarted {
            backend.restart(record);
            backend.limits.cold.set_bounds(cold_bounds, self.cold_part_permille);
        } else {
            backend.record = record;
        }
        if is_news {
            backend.limits.cold.merge_record(now_ms, sequence, cold_left);
        }
        backend.announced_leaving = announced_leaving;
        backend.status = status;
        match (was_usable, status) {
            (true, BackendStatus::Leaving) => RecordChange::Left,
            (false, BackendStatus::Usable) => RecordChange::Arrived,
            _ if restarted => RecordChange::Restarted,
            _ => RecordChange::Unchanged,
        }
    }

    /// Marks a backend server as gone, because its record was removed or can't be read.
    pub fn remove(&mut self, now_ms: u64, id: &str) -> RecordChange {
        self.list.retain(|backend| match backend.status {
            BackendStatus::Gone { since_ms } => now_ms < since_ms + GONE_EXPIRY_MS,
            _ => true,
        });
        let change = match self.get_mut(id) {
            Some(backend) if !matches!(backend.status, BackendStatus::Gone { .. }) => {
                backend.status = BackendStatus::Gone { since_ms: now_ms };
                RecordChange::Left
            }
            _ => RecordChange::Unchanged,
        };
        self.arrange_pools();
        change
    }

    /// Records that a backend server announced that it leaves; returns whether that is news.
    pub fn mark_leaving(&mut self, leaving: &LeavingServer) -> bool {
        let Some(backend) = self.get_mut(&leaving.backend_server) else { return false };
        let is_news =
            backend.status == BackendStatus::Usable && backend.record.born_ms == leaving.born_ms;
        if is_news {
            backend.announced_leaving = true;
            backend.status = BackendStatus::Leaving;
            self.arrange_pools();
        }
        is_news
    }

    /// Returns the backend servers that announced that they leave and whose records do not say so.
    pub fn announced_leaving(&self) -> Vec<LeavingServer> {
        let announced = self.list.iter().filter(|backend| backend.announced_leaving);
        let announced = announced.map(|backend| LeavingServer {
            backend_server: backend.id.clone(),
            born_ms: backend.record.born_ms,
        });
        announced.collect()
    }

    /// Returns a backend server.
    pub fn get(&self, id: &str) -> Option<&Backend> {
        self.find(id).ok().map(|index| &self.list[index])
    }

    /// Returns a mutable reference to a backend server.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Backend> {
        self.find(id).ok().map(|index| &mut self.list[index])
    }

    /// Returns the usable backend servers, sorted by id.
    pub fn usable(&self) -> impl Iterator<Item = &Backend> {
        self.list.iter().filter(|backend| backend.status == BackendStatus::Usable)
    }

    /// Returns the ids of all backend servers that are not gone.
    pub fn present_ids(&self) -> Vec<Name> {
        self.present().map(|backend| backend.id.clone()).collect()
    }

    /// Returns the records of all backend servers that are not gone.
    pub fn items(&self) -> Vec<StoreItem> {
        let item = |backend: &Backend| StoreItem::Backend {
            id: backend.id.clone(),
            record: Ok(backend.record.clone()),
        };
        self.present().map(item).collect()
    }

    /// Forgets the loads of other instances.
    pub fn clear_others(&mut self) {
        for backend in &mut self.list {
            backend.others_load = BackendLoad::default();
        }
    }

    /// Returns loads and speeds of the backend servers that this cell coordinates.
    pub fn engine_reports(&self) -> Vec<EngineReport> {
        let own = self.pools.iter().filter(|pool| pool.coordinating_cell == self.layout.own);
        own.flat_map(|pool| &pool.cell).map(|index| self.list[*index].report()).collect()
    }

    /// Adopts the report of a coordinator on one backend server.
    pub fn adopt_report(&mut self, report: &EngineReport, with_load: bool) {
        if let Some(backend) = self.get_mut(&report.backend_server) {
            backend.adopt_report(report, with_load);
        }
    }

    /// Returns the cell that coordinates a service for this instance.
    pub fn coordinating_cell(&self, service: &str) -> usize {
        self.pool(service).map(|pool| pool.coordinating_cell).unwrap_or(self.layout.own)
    }

    /// Returns the services of which each cell has some backend servers.
    pub fn cell_services(&self) -> Vec<Name> {
        let divided = self.pools.iter().filter(|pool| pool.is_divided);
        divided.map(|pool| pool.service.clone()).collect()
    }

    /// Returns a backend server for a plain request; one in back-off only if there is no other, and an
    /// ejected one only if all that are in reach are.
    ///
    /// A request that is repeatable may be a trial of an ejected one.
    pub fn choose_plain(
        &self,
        now_ms: u64,
        service: &str,
        except: &[Name],
        is_repeatable: bool,
    ) -> Option<Name> {
        let admitting =
            || self.of_service(service, except).filter(|backend| self.admits(now_ms, backend));
        let available = admitting().filter(|backend| backend.may_serve(now_ms));
        let mut trials = available.filter(|backend| backend.outcomes.is_trial_due(now_ms));
        if is_repeatable && let Some(trial) = trials.next() {
            return Some(trial.id.clone());
        }
        let has_trusted = self.of_service(service, &[]).any(|known| is_trusted(now_ms, known));
        let chosen_from =
            || admitting().filter(|known| !has_trusted || known.outcomes.ejection().is_none());
        let available = chosen_from().filter(|backend| backend.may_serve(now_ms));
        let in_backoff = || chosen_from().filter(|backend| now_ms >= backend.paused_until_ms());
        least_wait(available).or_else(|| least_wait(in_backoff()))
    }

    /// Sets the cells.
    pub fn set_layout(&mut self, layout: &CellLayout) {
        if self.layout != *layout {
            self.layout = layout.clone();
            self.arrange_pools();
        }
    }

    /// Recalculates the pools; those of large services are divided among the cells.
    pub(crate) fn arrange_pools(&mut self) {
        let mut pools: Vec<Pool> = Vec::new();
        for (index, backend) in self.list.iter().enumerate() {
            if !self.takes_new_work(backend) {
                continue;
            }
            let service = &backend.record.service;
            match pools.binary_search_by(|pool| pool.service.cmp(service)) {
                Ok(found) => pools[found].all.push(index),
                Err(missing) => {
                    let pool =
                        Pool { all: vec![index], service: service.clone(), ..Pool::default() };
                    pools.insert(missing, pool);
                }
            }
        }
        let cells = self.layout.count();
        for pool in &mut pools {
            if cells > 1 && pool.all.len() >= cells * MIN_BACKENDS_PER_CELL {
                let ids: Vec<Name> =
                    pool.all.iter().map(|index| self.list[*index].id.clone()).collect();
                let assigned = self.layout.assign(&ids);
                let own = pool.all.iter().zip(assigned);
                let own = own.filter(|(_, cell)| *cell == self.layout.own);
                pool.cell = own.map(|(index, _)| *index).collect();
                pool.coordinating_cell = self.layout.own;
                pool.is_divided = true;
            } else {
                pool.cell = pool.all.clone();
                pool.coordinating_cell = cell_of(&pool.service, cells);
            }
        }
        for backend in &mut self.list {
            backend.is_own = false;
        }
        let own = pools.iter().filter(|pool| pool.coordinating_cell == self.layout.own);
        for index in own.flat_map(|pool| &pool.cell) {
            self.list[*index].is_own = true;
        }
        self.pools = pools;
        self.closed_services = self.find_closed_services();
    }

    /// Returns the backend server with the least expected loss for a model request.
    pub fn choose_engine(&self, now_ms: u64, service: &str, query: &EngineQuery) -> EngineChoice {
        let EngineQuery { tried, version_need, .. } = query;
        let candidates = self.candidates(now_ms, service, tried, version_need);
        if candidates.is_empty() {
            return EngineChoice::NoneUsable;
        }
        let open = candidates
            .into_iter()
            .filter(|backend| backend.free_slots() > 0 && self.admits(now_ms, backend));
        let open: Vec<_> = open.collect();
        if let Some(trial) = open.iter().find(|backend| backend.outcomes.is_trial_due(now_ms)) {
            return EngineChoice::Chosen(trial.id.clone());
        }
        let best = open
            .into_iter()
            .map(|backend| (expected_loss(now_ms, backend, query), backend))
            .min_by(|(left, _), (right, _)| left.total_cmp(right));
        match best {
            Some((_, backend)) => EngineChoice::Chosen(backend.id.clone()),
            None => EngineChoice::AllBusy,
        }
    }

    /// Returns whether any backend server that may serve a request was not tried, available or not.
    pub fn has_untried(&self, service: &str, query: &EngineQuery) -> bool {
        let Some(pool) = self.pool(service) else { return true };
        let indices = match query.version_need {
            VersionNeed::Only(_) => &pool.all,
            VersionNeed::Any | VersionNeed::Settled => &pool.cell,
        };
        let mut ids = indices.iter().map(|index| &self.list[*index].id);
        query.tried.is_empty() || ids.any(|id| !query.tried.contains(id))
    }

    /// Returns whether a service has a usable backend server in any cell except for these.
    pub fn has_other(&self, service: &str, except: &[Name]) -> bool {
        self.of_service(service, except).next().is_some()
    }

    /// Returns the slots of a service's available backend servers in this cell: all, and the free
    /// ones.
    pub fn slots(&self, now_ms: u64, service: &str) -> (usize, usize) {
        self.slots_for(now_ms, service, &VersionNeed::Any)
    }

    /// Returns the slots of those that may serve a request: all, and the free ones.
    pub fn slots_for(
        &self,
        now_ms: u64,
        service: &str,
        version_need: &VersionNeed,
    ) -> (usize, usize) {
        let candidates = self.candidates(now_ms, service, &[], version_need).into_iter();
        candidates.fold((0, 0), |(all, free), backend| {
            let usable = backend.usable_slots(now_ms, self.slot_ms);
            (all + usable, free + self.free_places(now_ms, backend).min(usable))
        })
    }

    /// Returns the versions of the backend servers that are not gone, sorted.
    pub fn present_versions(&self) -> Vec<PresentVersion> {
        let mut versions: Vec<PresentVersion> = Vec::new();
        for Backend { record, .. } in self.present() {
            let key = (&record.service, &record.software_version);
            let found = versions
                .binary_search_by(|known| (&known.service, &known.software_version).cmp(&key));
            match found {
                Ok(index) => {
                    let born_ms = versions[index].born_ms.into_iter().chain(record.born_ms).min();
                    versions[index].born_ms = born_ms;
                }
                Err(index) => {
                    let present = PresentVersion {
                        service: record.service.clone(),
                        software_version: record.software_version.clone(),
                        born_ms: record.born_ms,
                    };
                    versions.insert(index, present);
                }
            }
        }
        versions
    }

    /// Sets until when backend servers take no streams that may be resumed.
    pub fn hold_versions(&mut self, versions: &SoftwareVersions) {
        for Backend { record, held_until_ms, .. } in &mut self.list {
            *held_until_ms = versions.held_until_ms(&record.service, &record.software_version);
        }
    }

    /// Returns the median time to a plain answer over the backend servers of a service, in
    /// milliseconds.
    pub fn typical_reply_ms(&self, service: &str) -> f64 {
        median(self.of_service(service, &[]).map(Backend::expected_reply_ms).collect())
    }

    /// Returns the median expected duration of a stream over the backend servers of a service, in
    /// milliseconds.
    pub fn typical_stream_ms(&self, service: &str, prompt: &PromptShape) -> f64 {
        let durations_ms = self.of_service(service, &[]).map(|backend| {
            let output_tokens = prompt.expected_output_tokens() as f64;
            let first_event_ms = backend.expected_first_event_ms(prompt.prompt_tokens);
            first_event_ms + output_tokens * backend.expected_token_ms()
        });
        median(durations_ms.collect())
    }

    fn present(&self) -> impl Iterator<Item = &Backend> {
        self.list.iter().filter(|known| !matches!(known.status, BackendStatus::Gone { .. }))
    }

    fn pool(&self, service: &str) -> Option<&Pool> {
        let index = self.pools.binary_search_by(|pool| (*pool.service).cmp(service)).ok()?;
        self.pools.get(index)
    }

    /// Returns the backend servers of a service from which this cell chooses.
    pub(crate) fn of_cell(&self, service: &str) -> impl Iterator<Item = &Backend> {
        let indices = self.pool(service).map(|pool| &pool.cell[..]).unwrap_or_default();
        indices.iter().map(|index| &self.list[*index])
    }

    pub(crate) fn of_service<'a>(
        &'a self,
        service: &str,
        except: &'a [Name],
    ) -> impl Iterator<Item = &'a Backend> {
        let indices = self.pool(service).map(|pool| &pool.all[..]).unwrap_or_default();
        let of_service = indices.iter().map(|index| &self.list[*index]);
        of_service.filter(move |backend| !except.contains(&backend.id))
    }

    /// Returns the backend servers of this cell that may serve a request; those of other cells if
    /// no other one has the version that it needs.
    fn candidates<'a>(
        &'a self,
        now_ms: u64,
        service: &str,
        except: &[Name],
        version_need: &VersionNeed,
    ) -> Vec<&'a Backend> {
        let Some(pool) = self.pool(service) else { return Vec::new() };
        let among = |indices: &[usize]| -> Vec<&'a Backend> {
            let among = indices.iter().map(|index| &self.list[*index]);
            let among = among.filter(|known| known.may_serve(now_ms));
            among.filter(|known| !except.contains(&known.id)).collect()
        };
        let mut candidates = among(&pool.cell);
        let is_repeatable = *version_need != VersionNeed::Any;
        if pool.cell.iter().any(|index| is_trusted(now_ms, &self.list[*index])) {
            let is_trial = |known: &Backend| is_repeatable && known.outcomes.is_trial_due(now_ms);
            candidates.retain(|known| known.outcomes.ejection().is_none() || is_trial(known));
        }
        match version_need {
            VersionNeed::Any => {}
            VersionNeed::Only(version) => {
                candidates.retain(|known| known.record.software_version == *version);
                if candidates.is_empty() && pool.is_divided {
                    candidates = among(&pool.all);
                    candidates.retain(|known| known.record.software_version == *version);
                }
            }
            VersionNeed::Settled => {
                let is_settled = |known: &Backend| now_ms >= known.held_until_ms;
                if pool.all.iter().any(|index| is_settled(&self.list[*index])) {
                    candidates.retain(|known| is_settled(known));
                }
            }
        }
        candidates
    }

    pub(crate) fn find(&self, id: &str) -> Result<usize, usize> {
        self.list.binary_search_by(|backend| (*backend.id).cmp(id))
    }
}

/// Returns whether a backend server is in reach and not ejected.
fn is_trusted(now_ms: u64, known: &Backend) -> bool {
    known.is_in_reach(now_ms) && known.outcomes.ejection().is_none()
}

/// Returns the backend server with the least expected wait, weighted by its share of failures.
fn least_wait<'a, I>(backends: I) -> Option<Name>
where
    I: Iterator<Item = &'a Backend>,
{
    backends
        .map(|backend| {
            let waiting = f64::from(backend.load().running) + 1.0;
            let failures = 1.0 + FAILURE_WEIGHT * backend.failure_share();
            (waiting * backend.expected_reply_ms() * failures, backend)
        })
        .min_by(|(left, _), (right, _)| left.total_cmp(right))
        .map(|(_, backend)| backend.id.clone())
}

/// Returns the median; 0 if there are no values.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}
