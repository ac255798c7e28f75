//! Builds the reports for operators on the state of the instance and on single requests.

use crate::core::Core;
use crate::drain_report::DrainReport;
use crate::explain_report::{ExplainReport, ExplainStep};
use crate::home_eligibility::{HomeEligibility, IneligibleReason};
use crate::now::Now;
use crate::peer_links::PeerTraffic;
use crate::request::{Request, RequestState};
use crate::status_report::{
    KeyStatus, PeerState, PeerStatus, PlatformStatus, RequestCounts, Standing, StatusReport,
};

impl Core {
    /// Returns the work that is left before a planned stop is complete.
    pub fn drain_report(&self) -> DrainReport {
        DrainReport { instance: self.own_name().to_string(), requests: self.request_counts() }
    }

    /// Returns the steps of a request, found by id or key.
    pub fn explain(&self, id: &str) -> Option<ExplainReport> {
        let by_id = id
            .rsplit_once('-')
            .and_then(|(_, sequence)| self.requests.get(sequence.parse().ok()?))
            .filter(|request| request.id.to_string() == id);
        let request = by_id.or_else(|| self.requests.by_key(id))?;
        let steps = request
            .steps
            .iter()
            .map(|step| ExplainStep {
                sentence: step.text.clone(),
                time_ms: step.at_ms.saturating_sub(request.arrived_ms),
            })
            .collect();
        Some(ExplainReport {
            request: request.id.to_string(),
            state: state_word(request).into(),
            steps,
        })
    }

    /// Returns the state of the instance.
    pub fn status(&self, now: Now) -> StatusReport {
        StatusReport {
            config_version: self.inventory.version,
            data_centre: self.settings.instance.data_centre.to_string(),
            incarnation: self.incarnation,
            instance: self.own_name().to_string(),
            keys: KeyStatus {
                capacity: self.settings.keys.capacity,
                remembered: count(self.key_home.len()),
            },
            leaving: self.is_leaving(&self.own_name()),
            list_version: self.view.list_version(),
            peers: self.peer_statuses(),
            peer_traffic: PeerTraffic::default(),
            platform: PlatformStatus { reachable: self.adoption.is_platform_reachable(), reads: 0 },
            quarantined: self
                .quarantined
                .iter()
                .map(|fingerprint| format!("{fingerprint:016x}"))
                .collect(),
            ready: self.is_ready(),
            refused_document: self.refused_document.clone(),
            requests: self.request_counts(),
            retired_version: self.membership.retired_version(),
            schedulers: self
                .schedulers
                .iter()
                .map(|(_, scheduler)| scheduler.report(now))
                .collect(),
            standing: standing(&self.membership.eligibility(now)),
            stopping: self.stop.is_some(),
        }
    }

    fn peer_statuses(&self) -> Vec<PeerStatus> {
        let own_name = self.own_name();
        let live = self.membership.live_members();
        let state = |name| match live.binary_search(name) {
            Ok(_) if self.stopping_peers.binary_search(name).is_ok() => PeerState::Stopping,
            Ok(_) => PeerState::Live,
            Err(_) => PeerState::Silent,
        };
        self.inventory
            .instances
            .iter()
            .filter(|instance| instance.name != own_name)
            .map(|instance| {
                let (config_version, incarnation) = self.peer_versions(&instance.name);
                PeerStatus {
                    caller_address: instance.caller_address,
                    config_version,
                    incarnation,
                    name: instance.name.clone(),
                    state: state(&instance.name),
                }
            })
            .collect()
    }

    fn request_counts(&self) -> RequestCounts {
        let running = self.requests.active().filter(|request| request.is_running()).count();
        let waiting = self.requests.active().count() - running;
        RequestCounts { running: count(running), waiting: count(waiting) }
    }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

fn standing(eligibility: &HomeEligibility) -> Standing {
    let reason = match eligibility {
        HomeEligibility::Eligible { .. } => return Standing { lawful: true, reason: None },
        HomeEligibility::Ineligible { reason } => reason,
    };
    let reason = match reason {
        IneligibleReason::EarlierListInUse { version } => {
            format!("List version {version} may still be in use.")
        }
        IneligibleReason::ListRetired => "The list in force is retired.".into(),
        IneligibleReason::NoMajority { confirmed, of } => {
            format!("{confirmed} of {of} instances confirm it.")
        }
        IneligibleReason::NotMember => "The published list doesn't contain this instance.".into(),
        IneligibleReason::Paused => "The process was paused.".into(),
        IneligibleReason::Settling => "A majority confirms it, but not for long enough.".into(),
    };
    Standing { lawful: false, reason: Some(reason) }
}

fn state_word(request: &Request) -> &'static str {
    match request.state {
        RequestState::Claiming { .. } | RequestState::Waiting { .. } => "waiting",
        RequestState::Ended { outcome, .. } => outcome.word(),
        RequestState::Running { .. } => "running",
    }
}
