//! The control thread, which owns the decision core and must not block.

use std::time::{Duration, Instant};

use crate::clock::Clock;
use crate::core::Core;
use crate::drain_report::DrainReport;
use crate::effect::Effect;
use crate::event::Event;
use crate::explain_report::ExplainReport;
use crate::peer_event::{PeerEvent, PeerSink};
use crate::status_report::StatusReport;

/// Time between two ticks, in milliseconds.
pub const TICK_INTERVAL_MS: u64 = 20;

/// Input of the control thread.
pub enum ControlInput {
    /// Begin a planned stop, and report the remaining work.
    Drain(flume::Sender<DrainReport>),
    /// Decide on an event.
    Event(Event),
    /// Report the steps of a request.
    Explain {
        /// Id or key of the request.
        id: String,
        /// Channel for the report.
        reply: flume::Sender<Option<ExplainReport>>,
    },
    /// Report the state of the instance.
    Status(flume::Sender<StatusReport>),
}

/// Carries out the effects of decisions; it must not block.
pub trait EffectSink: Send {
    /// Carries out one effect.
    fn apply(&mut self, effect: Effect);

    /// Records the duration of one decision, its effects included, in microseconds.
    fn record_decision_time(&mut self, elapsed_us: u64);
}

/// Delivers the events of peer links to the control thread.
pub struct ControlPeerSink {
    /// Channel to the control thread.
    pub control: flume::Sender<ControlInput>,
}

impl PeerSink for ControlPeerSink {
    fn deliver(&self, event: PeerEvent) {
        let event = match event {
            PeerEvent::Down { peer } => Event::PeerDown { peer },
            PeerEvent::Message { incarnation, message, peer } => {
                Event::PeerMessage { incarnation, message, peer }
            }
            PeerEvent::Up { incarnation, key_seals, peer } => {
                Event::PeerUp { incarnation, key_seals, peer }
            }
        };
        // The control thread only ends with the process.
        let _ = self.control.send(ControlInput::Event(event));
    }
}

/// Runs the control thread until every sender of its inputs is gone.
pub fn run_control(
    clock: Clock,
    mut core: Core,
    inputs: &flume::Receiver<ControlInput>,
    sink: &mut dyn EffectSink,
) {
    let interval = Duration::from_millis(TICK_INTERVAL_MS);
    let mut next_tick_ms = 0;
    loop {
        match inputs.recv_timeout(interval) {
            Ok(input) => handle_input(clock, &mut core, input, sink),
            Err(flume::RecvTimeoutError::Timeout) => {}
            Err(flume::RecvTimeoutError::Disconnected) => return,
        }
        if clock.monotonic_ms() >= next_tick_ms {
            next_tick_ms = clock.monotonic_ms() + TICK_INTERVAL_MS;
            decide(clock, &mut core, Event::Tick, sink);
        }
    }
}

fn decide(clock: Clock, core: &mut Core, event: Event, sink: &mut dyn EffectSink) {
    let started = Instant::now();
    for effect in core.decide(clock.now(), event) {
        sink.apply(effect);
    }
    let elapsed_us = started.elapsed().as_micros();
    sink.record_decision_time(u64::try_from(elapsed_us).unwrap_or(u64::MAX));
}

fn handle_input(clock: Clock, core: &mut Core, input: ControlInput, sink: &mut dyn EffectSink) {
    // A reply is dropped if its receiver is gone.
    match input {
        ControlInput::Drain(reply) => {
            decide(clock, core, Event::Stop, sink);
            let _ = reply.send(core.drain_report());
        }
        ControlInput::Event(event) => decide(clock, core, event, sink),
        ControlInput::Explain { id, reply } => {
            let _ = reply.send(core.explain(&id));
        }
        ControlInput::Status(reply) => {
            let _ = reply.send(core.status(clock.now()));
        }
    }
}
