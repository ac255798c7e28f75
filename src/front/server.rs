//! The thread that owns all connections of callers.

use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use hyper::http::request::Parts;
use log::{info, warn};
use tokio::runtime;
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local, yield_now};
use tokio::time::sleep;

use crate::answer_output::AnswerOutput;
use crate::answer_writer::write_final;
use crate::answers;
use crate::error::Error;
use crate::final_answer::FinalAnswer;
use crate::front::connection::serve_connection;
use crate::front::front_request::FrontRequest;
use crate::gateway::boot_clock::boot_ms;
use crate::intake::body_budget::BodyBudget;
use crate::intake::body_reader::BodyFault;
use crate::intake::closing_cause::ClosingCause;
use crate::intake::connection_gate::{Accepted, ConnectionGate};
use crate::intake::intake_limits::IntakeLimits;
use crate::intake::log_limit::LogLimit;
use crate::metric::Counter;
use crate::telemetry::Telemetry;

/// Pause after a connection that could not be accepted, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 20;
/// Name of the thread.
const THREAD_NAME: &str = "callers";

/// Limits on callers.
#[derive(Clone, Debug)]
pub(crate) struct FrontLimits {
    /// Longest body, in bytes.
    pub(crate) body_limit_bytes: usize,
    /// Longest time until the next head has arrived, in milliseconds.
    pub(crate) head_timeout_ms: u64,
    /// What callers may hold.
    pub(crate) intake: IntakeLimits,
}

/// Next step of a request whose head has arrived.
pub(crate) enum HeadStep {
    /// Its body is read, for as long as its caller waits.
    Read { time_left_ms: u64 },
    /// It is answered at once.
    Refuse(FinalAnswer),
}

/// Handles the requests of callers.
pub(crate) trait RequestHandler: Send + Sync {
    /// Decides whether the body of a request is read.
    fn check_head(&self, head: &Parts) -> HeadStep;

    /// Answers a request; it may block.
    fn serve(&self, request: FrontRequest);
}

/// What the connections share.
pub(super) struct Shared {
    pub(super) body_budget: BodyBudget,
    gate: ConnectionGate,
    pub(super) handler: Arc<dyn RequestHandler>,
    pub(super) in_progress: Arc<AtomicUsize>,
    pub(super) limits: FrontLimits,
    log_limit: RefCell<LogLimit>,
    telemetry: Arc<dyn Telemetry>,
}

/// A running front.
pub(crate) struct Front {
    in_progress: Arc<AtomicUsize>,
    stopped: watch::Sender<bool>,
}

impl Front {
    /// Starts to serve connections of a listener.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread or its runtime can't be started.
    pub(crate) fn start(
        listener: TcpListener,
        limits: FrontLimits,
        handler: Arc<dyn RequestHandler>,
        telemetry: Arc<dyn Telemetry>,
    ) -> Result<Self, Error> {
        let start_error = |error| Error::io("Starting the thread for callers failed", error);
        let (stopped, stop) = watch::channel(false);
        let in_progress = Arc::new(AtomicUsize::new(0));
        let front = Self { in_progress: in_progress.clone(), stopped };
        listener.set_nonblocking(true).map_err(start_error)?;
        let runtime =
            runtime::Builder::new_current_thread().enable_all().build().map_err(start_error)?;
        let listener = {
            let _entered = runtime.enter();
            tokio::net::TcpListener::from_std(listener).map_err(start_error)?
        };
        let serve = move || {
            let shared = Rc::new(Shared {
                body_budget: BodyBudget::new(limits.intake.body_memory_bytes),
                gate: ConnectionGate::new(limits.intake.connections),
                handler,
                in_progress,
                limits,
                log_limit: RefCell::default(),
                telemetry,
            });
            LocalSet::new().block_on(&runtime, accept(shared, listener, stop));
        };
        thread::Builder::new().name(THREAD_NAME.into()).spawn(serve).map_err(start_error)?;
        Ok(front)
    }

    /// Returns the number of requests whose answer is not written yet.
    pub(crate) fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Acquire)
    }

    /// Stops accepting connections; those that are open are served until the process ends.
    pub(crate) fn stop(&self) {
        self.stopped.send_replace(true);
    }
}

async fn accept(
    shared: Rc<Shared>,
    listener: tokio::net::TcpListener,
    mut stop: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stopped| *stopped) => break,
        };
        match accepted {
            Ok((stream, _)) => shared.admit(stream),
            Err(error) => {
                warn!(target: "callers", error:%; "A connection could not be accepted.");
                sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
        // A connection that was replaced closes before the next one is accepted.
        yield_now().await;
    }
    drop(listener);
    std::future::pending::<()>().await;
}

impl Shared {
    fn admit(self: &Rc<Self>, stream: tokio::net::TcpStream) {
        let slot = match self.gate.accept() {
            Accepted::Kept(slot) => slot,
            Accepted::Refused => return self.record_closing(ClosingCause::NoRoom),
            Accepted::Replacing(slot) => {
                self.record_closing(ClosingCause::Replaced);
                slot
            }
        };
        spawn_local(serve_connection(self.clone(), stream, slot));
    }

    /// Counts and logs a connection that is closed for a limit.
    pub(super) fn record_closing(&self, cause: ClosingCause) {
        self.telemetry.count(Counter::ClosedConnections { cause }, 1);
        if let Some(left_out) = self.begin_line(cause.name()) {
            info!(
                target: "callers",
                cause = cause.name(),
                connections = self.gate.count(),
                left_out;
                "Connection closed by a limit."
            );
        }
    }

    /// Counts and logs a request whose body was not read.
    pub(super) fn record_body_fault(&self, fault: BodyFault) {
        self.telemetry.count(Counter::BodyFaults { fault }, 1);
        if let Some(left_out) = self.begin_line(fault.name()) {
            info!(
                target: "callers",
                reason = fault.name(),
                body_bytes = self.body_budget.held_bytes(),
                left_out;
                "Request refused before its body had arrived; it did not run."
            );
        }
    }

    fn begin_line(&self, kind: &'static str) -> Option<u64> {
        self.log_limit.borrow_mut().begin_line(boot_ms(), kind)
    }

    /// Answers a request on a thread of its own.
    pub(super) fn serve(&self, request: FrontRequest) {
        let handler = self.handler.clone();
        let (sender, receiver) = flume::bounded(1);
        let serve = move || {
            // It was sent below, unless this thread could not be started.
            if let Ok(request) = receiver.recv() {
                handler.serve(request);
            }
        };
        match thread::Builder::new().spawn(serve) {
            Ok(_) => {
                // The thread waits for it.
                let _ = sender.send(request);
            }
            Err(error) => {
                warn!(target: "callers", error:%; "A thread could not be started.");
                let mut output = request.output;
                // The caller may have disconnected.
                let _ =
                    write_final(&mut output as &mut dyn AnswerOutput, None, &answers::no_thread());
            }
        }
    }
}
