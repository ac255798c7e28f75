//! Builds the trace spans of one request and sends them to the telemetry.

use crate::clock::Clock;
use crate::serving_context::ServingContext;
use crate::span_record::{Hop, SpanRecord};
use crate::trace_context::TraceContext;

/// The spans of one request, all below the span of its caller's connection.
#[derive(Clone, Copy, Debug)]
pub struct RequestTrace {
    caller: TraceContext,
    dispatch: TraceContext,
    parent_span_id: Option<u64>,
    started_ms: u64,
}

impl RequestTrace {
    /// Starts a span within the caller's trace, or within a new trace if the caller sent none.
    pub fn start(serving_context: &ServingContext, traceparent: Option<&str>) -> Self {
        let parent = traceparent.and_then(TraceContext::parse);
        let caller = parent.map_or_else(TraceContext::root, |parent| parent.child());
        Self {
            caller,
            dispatch: caller.child(),
            parent_span_id: parent.map(|parent| parent.span_id),
            started_ms: serving_context.clock.monotonic_ms(),
        }
    }

    /// Returns the `traceparent` header for the backend server.
    pub fn dispatch_header(&self) -> String {
        self.dispatch.to_header()
    }

    /// Records the caller's span, which ends now.
    pub fn end(&self, serving_context: &ServingContext) {
        let ended_ms = serving_context.clock.monotonic_ms();
        let record =
            span(serving_context.clock, Hop::Caller, self.started_ms, ended_ms, self.caller);
        serving_context
            .telemetry
            .span(SpanRecord { parent_span_id: self.parent_span_id, ..record });
    }

    /// Records the span of the call to the backend server, which ends now.
    pub fn end_dispatch(&mut self, serving_context: &ServingContext, started_ms: u64) {
        let ended_ms = serving_context.clock.monotonic_ms();
        let record =
            span(serving_context.clock, Hop::Dispatch, started_ms, ended_ms, self.dispatch);
        let parent_span_id = Some(self.caller.span_id);
        serving_context.telemetry.span(SpanRecord { parent_span_id, ..record });
        self.dispatch = self.caller.child();
    }

    /// Records a span below the caller's, between two monotonic times, in milliseconds.
    pub fn record(
        &self,
        serving_context: &ServingContext,
        hop: Hop,
        started_ms: u64,
        ended_ms: u64,
    ) {
        let record = span(serving_context.clock, hop, started_ms, ended_ms, self.caller.child());
        let parent_span_id = Some(self.caller.span_id);
        serving_context.telemetry.span(SpanRecord { parent_span_id, ..record });
    }
}

fn span(
    clock: Clock,
    hop: Hop,
    started_ms: u64,
    ended_ms: u64,
    context: TraceContext,
) -> SpanRecord {
    let now = clock.now();
    let wall_clock_ms = |monotonic_ms: u64| {
        now.wall_clock_ms.saturating_sub(now.monotonic_ms.saturating_sub(monotonic_ms))
    };
    SpanRecord {
        attributes: Vec::new(),
        context,
        end_wall_clock_ms: wall_clock_ms(ended_ms),
        hop,
        parent_span_id: None,
        start_wall_clock_ms: wall_clock_ms(started_ms),
    }
}
