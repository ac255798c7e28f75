//! Judges the outcomes that this instance hears, and exchanges ejections with its cell.

use crate::gateway::backend::{Backend, SendOutcome};
use crate::gateway::backends::Backends;
use crate::gateway::fleet::additions::ToldOutlier;
use crate::gateway::fleet::coordinators::Decider;
use crate::gateway::fleet::failed_paths::SendPath;
use crate::gateway::outliers::judge::{Others, Verdict, judge};
use crate::gateway::outliers::record::{Ejection, Standing};
use crate::gateway::outliers::trials::TrialResult;
use crate::gateway::state::GatewayState;
use crate::name::Name;

/// Maximum number of ejections in one report.
const REPORTED_EJECTIONS: usize = 32;

/// A change of a server's standing that is logged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StandingChange {
    /// Id of the backend server.
    pub backend_server: Name,
    /// Whether it is ejected now.
    pub is_ejected: bool,
    /// Failures among the outcomes that were kept.
    pub failures: u32,
    /// Outcomes that were kept.
    pub outcomes: u32,
    /// Time for which it was ejected, in milliseconds.
    pub ejected_for_ms: u64,
}

impl Backends {
    /// Returns the ejected backend servers that are usable.
    pub fn ejected(&self) -> impl Iterator<Item = (&Backend, &Ejection)> {
        self.usable().filter_map(|backend| Some((backend, backend.outcomes.ejection()?)))
    }

    /// Returns how the other backend servers of a service that this cell uses fare.
    fn others_of(&self, now_ms: u64, service: &str, id: &str) -> Others {
        let others = self.of_cell(service);
        let others = others.filter(|other| *other.id != *id && other.is_in_reach(now_ms));
        others.fold(Others::default(), |mut sum, other| {
            sum.add(&other.outcomes);
            sum
        })
    }
}

impl GatewayState {
    /// Records how a request ended in the standing of its backend server.
    pub(crate) fn record_standing(&mut self, now_ms: u64, path: SendPath, outcome: SendOutcome) {
        let SendPath { backend_server, begun_ms, instance } = path;
        let Some(backend) = self.backends.get_mut(backend_server) else { return };
        if !backend.outcomes.record(instance, outcome) {
            return;
        }
        let service = backend.record.service.clone();
        if let Some(ejection) = backend.outcomes.ejection().copied() {
            let failed = outcome == SendOutcome::Failed;
            if backend.outcomes.end_trial(now_ms, begun_ms, failed) == TrialResult::Trusted {
                self.change_standing(now_ms, backend_server, Some(ejection));
            }
            return;
        }
        if outcome != SendOutcome::Failed {
            return;
        }
        let cell = self.backends.coordinating_cell(&service);
        let has_witnesses = match self.fleet.decider_of(now_ms, cell) {
            // It hears the outcomes of all, and tells what follows.
            Decider::Other(_) => return,
            Decider::Own => self.fleet.own_cell_live(now_ms) > 1,
            Decider::None => false,
        };
        let others = self.backends.others_of(now_ms, &service, backend_server);
        let Some(backend) = self.backends.get_mut(backend_server) else { return };
        if judge(&backend.outcomes, others, has_witnesses) == Verdict::Eject {
            backend.outcomes.standing = Standing::Ejected(Ejection::new(now_ms));
            self.change_standing(now_ms, backend_server, None);
        }
    }

    fn change_standing(&mut self, now_ms: u64, id: &Name, before: Option<Ejection>) {
        let Some(backend) = self.backends.get(id) else { return };
        let since_ms = before.map(|ejection| ejection.since_ms).unwrap_or(now_ms);
        self.standing_changes.push(StandingChange {
            backend_server: id.clone(),
            is_ejected: before.is_none(),
            failures: backend.outcomes.failures(),
            outcomes: backend.outcomes.count(),
            ejected_for_ms: now_ms.saturating_sub(since_ms),
        });
        self.fleet.is_urgent = true;
    }

    /// Removes and returns the changes of standings that are to be logged.
    pub fn take_standing_changes(&mut self) -> Vec<StandingChange> {
        std::mem::take(&mut self.standing_changes)
    }

    /// Returns the ejections in force for a report to the cell.
    pub(crate) fn outliers_for_report(&self, now_ms: u64) -> Vec<ToldOutlier> {
        let ejected = self.backends.ejected().map(|(backend, ejection)| ToldOutlier {
            backend_server: backend.id.clone(),
            born_ms: backend.record.born_ms,
            age_ms: now_ms.saturating_sub(ejection.since_ms),
            failed_trials: ejection.failed_trials,
        });
        ejected.take(REPORTED_EJECTIONS).collect()
    }

    /// Adopts the ejections of the coordinator that this instance follows: those that it does not
    /// list have ended.
    pub(crate) fn adopt_outliers(&mut self, now_ms: u64, told: &[ToldOutlier]) {
        let ended: Vec<Name> = self
            .backends
            .ejected()
            .filter(|(backend, _)| !told.iter().any(|told| told.backend_server == backend.id))
            .map(|(backend, _)| backend.id.clone())
            .collect();
        for id in ended {
            if let Some(backend) = self.backends.get_mut(&id) {
                backend.outcomes.trust();
            }
        }
        for told in told {
            let Some(backend) = self.backends.get_mut(&told.backend_server) else { continue };
            if backend.record.born_ms != told.born_ms || backend.outcomes.ejection().is_some() {
                continue;
            }
            let since_ms = now_ms.saturating_sub(told.age_ms);
            let mut ejection = Ejection::new(since_ms);
            ejection.failed_trials = told.failed_trials;
            // The coordinator may just have begun a trial.
            ejection.begin_trial(now_ms);
            backend.outcomes.standing = Standing::Ejected(ejection);
        }
    }
}
