//! Serves readiness to the balancer, metrics to operators, and store updates and relayed connections
//! to other instances.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use log::{info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, yield_now};

use crate::gateway::boot_clock::boot_ms;
use crate::gateway::counters::Gauges;
use crate::gateway::peer_update::{self, UPDATE_PATH};
use crate::gateway::relay_request::RELAY_PATH;
use crate::gateway::relay_server;
use crate::gateway::shared::Shared;
use crate::gateway::sharing::share_metrics;
use crate::intake::connection_gate::{ConnectionGate, ConnectionSlot};
use crate::intake::connection_table::ConnectionStage;
use crate::intake::intake_limits::IntakeLimits;

/// Path at which metrics are served.
const METRICS_PATH: &str = "/metrics";
/// Path at which operators' commands read the metrics.
const STATUS_PATH: &str = "/status";

/// Who may send requests to an address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Audience {
    /// Anyone who reaches it.
    Anyone,
    /// Other instances and operators; only they may read the document, which holds keys.
    Fleet,
}

impl Audience {
    /// Returns the name of the address in logs and metrics.
    fn address(self) -> &'static str {
        match self {
            Self::Anyone => "state",
            Self::Fleet => "fleet",
        }
    }

    fn connections(self, limits: &IntakeLimits) -> usize {
        match self {
            Self::Anyone => limits.state_connections,
            Self::Fleet => limits.fleet_connections,
        }
    }
}

/// Serves the state of the instance until the process ends.
pub(crate) async fn serve(shared: Rc<Shared>, listener: TcpListener, audience: Audience) {
    let limit = audience.connections(&shared.state.borrow().settings().intake);
    let gate = ConnectionGate::new(limit);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(target: "readiness", error:%; "A connection could not be accepted.");
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
                continue;
            }
        };
        if let Some(slot) = shared.accept(&gate, audience.address()) {
            spawn_local(serve_connection(shared.clone(), stream, slot, audience));
        }
        // A connection that was replaced closes before the next one is accepted.
        yield_now().await;
    }
}

async fn serve_connection(
    shared: Rc<Shared>,
    stream: TcpStream,
    slot: ConnectionSlot,
    audience: Audience,
) {
    let service = service_fn(|mut request| {
        let (shared, slot) = (shared.clone(), &slot);
        async move {
            slot.set_stage(ConnectionStage::Body);
            let response = match request.uri().path() {
                RELAY_PATH if audience == Audience::Fleet => {
                    relay_server::answer(&shared, &mut request).await
                }
                _ => answer(&shared, &request, audience),
            };
            slot.set_stage(ConnectionStage::Idle);
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // Clients may disconnect at any time.
        _ = connection.with_upgrades() => {}
        () = slot.replaced() => {}
    }
}

/// Logs a change of readiness and returns the current one.
pub(crate) fn log_readiness_change(shared: &Shared, was_ready: bool) -> bool {
    let now_ms = boot_ms();
    let state = shared.state.borrow();
    let is_ready = state.is_ready(now_ms);
    if is_ready != was_ready {
        info!(
            target: "readiness",
            ready = is_ready,
            version = state.table().version(),
            proof_age_ms = state.proof_age_ms(now_ms),
            backend_servers = state.backends().usable().count();
            "Instance readiness changed."
        );
    }
    is_ready
}

fn answer(
    shared: &Shared,
    request: &Request<Incoming>,
    audience: Audience,
) -> Response<Full<Bytes>> {
    match request.uri().path() {
        path if path == shared.wire.readiness_path() => {
            let ready = shared.state.borrow().is_ready(boot_ms());
            let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            text_response(status, String::new())
        }
        METRICS_PATH | STATUS_PATH => text_response(StatusCode::OK, metrics(shared)),
        UPDATE_PATH if audience == Audience::Fleet => store_update(shared, request.uri().query()),
        _ => text_response(StatusCode::NOT_FOUND, "There is no such page.\n".to_owned()),
    }
}

fn store_update(shared: &Shared, query: Option<&str>) -> Response<Full<Bytes>> {
    match peer_update::encode(&shared.state.borrow(), query.unwrap_or_default()) {
        Ok(Some(bytes)) => {
            shared.counters.record_peer_message("update", bytes.len(), 1);
            Response::new(Full::new(bytes.into()))
        }
        Ok(None) => {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "Nothing is known yet.\n".to_owned())
        }
        Err(error) => {
            warn!(target: "peers", error:%; "Store update could not be encoded.");
            text_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string())
        }
    }
}

fn metrics(shared: &Shared) -> String {
    let mut text = shared.counters.render(&current_gauges(shared));
    text.push_str(&share_metrics::render(shared.state.borrow().queues()));
    text
}

fn current_gauges(shared: &Shared) -> Gauges {
    let now_ms = boot_ms();
    let state = shared.state.borrow();
    Gauges {
        backend_servers: state.backends().usable().count(),
        body_bytes: shared.body_budget.held_bytes(),
        buffered_bytes: shared.buffered_bytes(),
        caller_connections: shared.caller_gate.count(),
        cold_servers: state.backends().cold_count(now_ms),
        cut_off: shared.paths.borrow().is_cut_off(),
        evacuated_data_centres: state.evacuated().len(),
        document_version: state.table().version(),
        held_versions: state.versions.held_count(now_ms),
        newest_document_version: state.newest_version(),
        in_progress: shared.in_progress.get(),
        instances: state.fleet().live_count(now_ms),
        proof_age_ms: state.proof_age_ms(now_ms),
        undecided: shared.waiter_count(),
        waiting: state.waiting_count(),
    }
}

fn text_response(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
