//! Renders the state of an instance as text.

use crate::scheduler::{BackendServerReport, SchedulerReport};
use crate::status_report::{PeerState, PeerStatus, RefusedDocument, Standing, StatusReport};

/// Renders the state of an instance, one field per line.
pub fn render_status(status: &StatusReport) -> String {
    let mut lines = vec![
        format!("instance    {} in {}", status.instance, status.data_centre),
        format!("incarnation {:x}", status.incarnation),
        format!("state       {}", render_readiness(status)),
        format!("config      version {}", status.config_version),
        format!("instances   version {}, retired {}", status.list_version, status.retired_version),
        format!("keys        {}", render_keys(status)),
        format!("platform    {}", render_platform(status)),
        format!(
            "requests    {} waiting, {} running",
            status.requests.waiting, status.requests.running
        ),
    ];
    lines.extend(status.peers.iter().map(render_peer));
    lines.extend(status.schedulers.iter().flat_map(render_scheduler));
    lines.extend(status.quarantined.iter().map(|fingerprint| format!("quarantined {fingerprint}")));
    lines.extend(status.refused_document.iter().flat_map(render_refused_document));
    lines.join("\n")
}

/// Renders whether an instance accepts requests.
pub fn render_readiness(status: &StatusReport) -> &'static str {
    match (status.stopping, status.leaving, status.ready) {
        (true, _, _) => "stopping",
        (false, true, _) => "leaving",
        (false, false, true) => "ready",
        (false, false, false) => "not ready",
    }
}

/// Renders whether an instance may grant keys.
pub fn render_standing(standing: &Standing) -> String {
    match (standing.lawful, &standing.reason) {
        (true, _) => "lawful".into(),
        (false, Some(reason)) => format!("not lawful: {reason}"),
        (false, None) => "not lawful".into(),
    }
}

fn render_keys(status: &StatusReport) -> String {
    let keys = status.keys;
    format!("{} of {}, {}", keys.remembered, keys.capacity, render_standing(&status.standing))
}

fn render_platform(status: &StatusReport) -> String {
    let reachable = if status.platform.reachable { "reachable" } else { "not reachable" };
    format!("{reachable}, {} reads", status.platform.reads)
}

fn render_peer(peer: &PeerStatus) -> String {
    let state = match peer.state {
        PeerState::Live => "live",
        PeerState::Silent => "silent",
        PeerState::Stopping => "stopping",
    };
    format!(
        "peer        {} at {}: {state}, incarnation {:x}, config version {}",
        peer.name, peer.caller_address, peer.incarnation, peer.config_version
    )
}

fn render_scheduler(scheduler: &SchedulerReport) -> Vec<String> {
    let waiting: Vec<String> =
        scheduler.waiting.iter().map(|(rank, count)| format!("rank {rank}: {count}")).collect();
    let waiting = if waiting.is_empty() { "none".into() } else { waiting.join(", ") };
    let mut lines = vec![format!("scheduler   {}, waiting: {waiting}", scheduler.service)];
    lines.extend(scheduler.backend_servers.iter().map(render_backend_server));
    lines
}

fn render_backend_server(server: &BackendServerReport) -> String {
    format!(
        "  server    {}: {}, {} requests, {} of {} tokens",
        server.name,
        server.state,
        server.running_requests,
        server.running_tokens,
        server.limit_tokens
    )
}

fn render_refused_document(refused: &RefusedDocument) -> Vec<String> {
    let mut lines = vec![format!("refused     version {}", refused.version)];
    lines.extend(refused.findings.iter().map(|finding| format!("  {finding}")));
    lines
}
