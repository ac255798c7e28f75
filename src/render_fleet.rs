//! Renders the state of the fleet as text.

use crate::fleet_report::{FleetMember, FleetReport};
use crate::render_status::{render_readiness, render_standing};
use crate::status_report::{PeerState, StatusReport};

/// Renders the state of each instance, one per line.
pub fn render_fleet(fleet: &FleetReport) -> String {
    fleet.instances.iter().map(render_member).collect::<Vec<_>>().join("\n")
}

fn render_member(member: &FleetMember) -> String {
    match (&member.status, &member.error) {
        (Some(status), _) => format!("{}: {}", member.name, render_summary(status)),
        (None, Some(error)) => format!("{}: {error}", member.name),
        (None, None) => format!("{}: no status", member.name),
    }
}

fn render_summary(status: &StatusReport) -> String {
    let live = status.peers.iter().filter(|peer| peer.state == PeerState::Live).count();
    let refused = match &status.refused_document {
        Some(refused) => format!(", refused version {}", refused.version),
        None => String::new(),
    };
    format!(
        "{}, config version {}{refused}, instances version {}, sees {live} of {} peers live, {}",
        render_readiness(status),
        status.config_version,
        status.list_version,
        status.peers.len(),
        render_standing(&status.standing)
    )
}
