//! The trace context of a span, as in the W3C `traceparent` header.

use std::collections::HashMap;

use opentelemetry::Context;
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::TraceContextExt;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use serde::{Deserialize, Serialize};

/// Name of the header.
pub const TRACEPARENT_HEADER: &str = "traceparent";

/// Identifies a span within its trace.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TraceContext {
    /// Whether the trace is recorded.
    pub sampled: bool,
    /// Id of the span; never 0.
    pub span_id: u64,
    /// Id of the trace; never 0.
    pub trace_id: u128,
}

impl TraceContext {
    /// Returns the context of a new child span.
    pub fn child(&self) -> Self {
        Self { span_id: new_span_id(), ..*self }
    }

    /// Parses a header; returns `None` if it isn't valid.
    pub fn parse(header: &str) -> Option<Self> {
        let carrier = HashMap::from([(TRACEPARENT_HEADER.to_owned(), header.to_owned())]);
        let context = TraceContextPropagator::new().extract_with_context(&Context::new(), &carrier);
        let span = context.span();
        let span_context = span.span_context();
        span_context.is_valid().then(|| Self {
            sampled: span_context.is_sampled(),
            span_id: u64::from_be_bytes(span_context.span_id().to_bytes()),
            trace_id: u128::from_be_bytes(span_context.trace_id().to_bytes()),
        })
    }

    /// Returns the context of the root span of a new trace.
    pub fn root() -> Self {
        let trace_id = rand::random::<u128>().max(1);
        Self { sampled: true, span_id: new_span_id(), trace_id }
    }

    /// Returns the header for the next hop.
    pub fn to_header(&self) -> String {
        format!("00-{:032x}-{:016x}-{:02x}", self.trace_id, self.span_id, u8::from(self.sampled))
    }
}

fn new_span_id() -> u64 {
    rand::random::<u64>().max(1)
}
