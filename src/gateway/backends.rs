//! Keeps all known backend servers and chooses one for a request.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::gateway::backend::{Backend, BackendLoad, BackendStatus};
use crate::gateway::backend_record::BackendRecord;
use crate::gateway::engine_query::{EngineQuery, expected_loss};
use crate::gateway::peer_table::CellPosition;
use crate::gateway::request_metadata::PromptShape;
use crate::gateway::store_item::StoreItem;
use crate::name::Name;

/// Time for which a removed backend server is kept as gone, so that late records do not add it
/// again, in milliseconds.
const GONE_EXPIRY_MS: u64 = 60_000;
/// Fewest backend servers of a service per cell for which each is assigned to a single cell; those
/// of smaller services are shared by all cells.
const MIN_BACKENDS_PER_CELL: usize = 3;
/// Weight of the share of failures in the choice of a backend server for a plain request.
const FAILURE_WEIGHT: f64 = 6.0;

/// All known backend servers, sorted by id.
#[derive(Clone, Debug, Default)]
pub struct Backends {
    cell: CellPosition,
    /// Ids of the backend servers that are assigned to other cells, sorted.
    other_cell_ids: Vec<Name>,
    list: Vec<Backend>,
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
    pub fn upsert(&mut self, id: &Name, record: BackendRecord) -> RecordChange {
        let change = self.apply_record(id, record);
        if change != RecordChange::Unchanged {
            self.assign_cells();
        }
        change
    }

    fn apply_record(&mut self, id: &Name, record: BackendRecord) -> RecordChange {
        let index = match self.find(id) {
            Err(index) => {
                let leaving = record.leaving;
                let mut backend = Backend::new(id.clone(), record);
                if leaving {
                    backend.status = BackendStatus::Leaving;
                }
                self.list.insert(index, backend);
                return if leaving { RecordChange::Left } else { RecordChange::Arrived };
            }
            Ok(index) => index,
        };
        let backend = &mut self.list[index];
        if record.is_older_than(&backend.record) {
            return RecordChange::Outdated;
        }
        let was_usable = backend.status == BackendStatus::Usable;
        let restarted = !record.is_same_run(&backend.record);
        let status = if record.leaving { BackendStatus::Leaving } else { BackendStatus::Usable };
        if restarted {
            backend.restart(record);
        } else {
            backend.record = record;
        }
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
        match self.get_mut(id) {
            Some(backend) if !matches!(backend.status, BackendStatus::Gone { .. }) => {
                backend.status = BackendStatus::Gone { since_ms: now_ms };
                self.assign_cells();
                RecordChange::Left
            }
            _ => RecordChange::Unchanged,
        }
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

    /// Returns the loads of this instance, without idle backend servers.
    pub fn own_loads(&self) -> Vec<(Name, BackendLoad)> {
        let busy = self.list.iter().filter(|backend| backend.own_load != BackendLoad::default());
        busy.map(|backend| (backend.id.clone(), backend.own_load)).collect()
    }

    /// Replaces all loads of another instance.
    pub fn set_peer_loads(&mut self, instance: &Name, loads: &[(Name, BackendLoad)]) {
        for backend in &mut self.list {
            let load = loads.iter().find(|(id, _)| *id == backend.id);
            backend.set_peer_load(instance, load.map(|(_, load)| *load).unwrap_or_default());
        }
    }

    /// Returns a backend server for a plain request; one in back-off only if there is no other.
    pub fn choose_plain(&self, now_ms: u64, service: &str, except: &[Name]) -> Option<Name> {
        let including_backoff = || self.of_service(service, except);
        least_wait(self.candidates(now_ms, service, except))
            .or_else(|| least_wait(including_backoff()))
    }

    /// Sets the cell of this instance.
    pub fn set_cell(&mut self, cell: CellPosition) {
        if self.cell != cell {
            self.cell = cell;
            self.assign_cells();
        }
    }

    /// Assigns the backend servers of large services to cells.
    ///
    /// Each is assigned to the cell with the highest hash for it that is below its limit.
    fn assign_cells(&mut self) {
        self.other_cell_ids.clear();
        let CellPosition { cells, index } = self.cell;
        if cells <= 1 {
            return;
        }
        let mut services: Vec<_> =
            self.usable().map(|backend| backend.record.service.clone()).collect();
        services.sort();
        services.dedup();
        for service in services {
            let of_service = self.usable().filter(|backend| backend.record.service == service);
            let mut ids: Vec<_> = of_service.map(|backend| backend.id.clone()).collect();
            if ids.len() < cells * MIN_BACKENDS_PER_CELL {
                continue;
            }
            ids.sort_by_key(|id| xxh3_64(id.as_bytes()));
            let cell_limit = ids.len().div_ceil(cells);
            let mut assigned = vec![0; cells];
            for id in ids {
                let cell = preferred_cell(&id, &assigned, cell_limit);
                assigned[cell] += 1;
                if cell != index {
                    self.other_cell_ids.push(id);
                }
            }
        }
        self.other_cell_ids.sort();
    }

    /// Returns the backend server with the least expected loss for a model request.
    pub fn choose_engine(&self, now_ms: u64, service: &str, query: &EngineQuery) -> EngineChoice {
        let mut candidates = self.cell_candidates(now_ms, service, &query.tried).peekable();
        if candidates.peek().is_none() {
            return EngineChoice::NoneUsable;
        }
        let best = candidates
            .filter(|backend| backend.free_slots() > 0)
            .map(|backend| (expected_loss(now_ms, backend, query), backend))
            .min_by(|(left, _), (right, _)| left.total_cmp(right));
        match best {
            Some((_, backend)) => EngineChoice::Chosen(backend.id.clone()),
            None => EngineChoice::AllBusy,
        }
    }

    /// Returns the slots of a service's available backend servers in this cell: all, and the free
    /// ones.
    pub fn slots(&self, now_ms: u64, service: &str) -> (usize, usize) {
        self.cell_candidates(now_ms, service, &[]).fold((0, 0), |(all, free), backend| {
            (all + backend.record.slots, free + backend.free_slots())
        })
    }

    /// Returns the median expected duration of a stream over the backend servers of a service, in
    /// milliseconds.
    pub fn typical_stream_ms(&self, service: &str, prompt: &PromptShape) -> f64 {
        let mut durations_ms: Vec<f64> = self
            .usable()
            .filter(|backend| &*backend.record.service == service)
            .map(|backend| {
                let output_tokens = prompt.expected_output_tokens() as f64;
                let first_event_ms = backend.expected_first_event_ms(prompt.prompt_tokens);
                first_event_ms + output_tokens * backend.expected_token_ms()
            })
            .collect();
        durations_ms.sort_by(f64::total_cmp);
        durations_ms.get(durations_ms.len() / 2).copied().unwrap_or_default()
    }

    fn present(&self) -> impl Iterator<Item = &Backend> {
        self.list.iter().filter(|known| !matches!(known.status, BackendStatus::Gone { .. }))
    }

    fn candidates<'a>(
        &'a self,
        now_ms: u64,
        service: &'a str,
        except: &'a [Name],
    ) -> impl Iterator<Item = &'a Backend> {
        self.of_service(service, except).filter(move |backend| backend.may_serve(now_ms))
    }

    fn of_service<'a>(
        &'a self,
        service: &'a str,
        except: &'a [Name],
    ) -> impl Iterator<Item = &'a Backend> {
        let of_service = self.usable().filter(move |known| &*known.record.service == service);
        of_service.filter(move |backend| !except.contains(&backend.id))
    }

    fn cell_candidates<'a>(
        &'a self,
        now_ms: u64,
        service: &'a str,
        except: &'a [Name],
    ) -> impl Iterator<Item = &'a Backend> {
        let candidates = self.candidates(now_ms, service, except);
        candidates.filter(|backend| self.other_cell_ids.binary_search(&backend.id).is_err())
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.list.binary_search_by(|backend| (*backend.id).cmp(id))
    }
}

/// Returns the cell with the highest hash for a backend server among those below `cell_limit`.
fn preferred_cell(id: &str, assigned: &[usize], cell_limit: usize) -> usize {
    let open_cells = (0..assigned.len()).filter(|cell| assigned[*cell] < cell_limit);
    let score = |cell: &usize| xxh3_64_with_seed(id.as_bytes(), *cell as u64);
    open_cells.max_by_key(score).unwrap_or_default()
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
