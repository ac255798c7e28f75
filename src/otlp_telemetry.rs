//! Telemetry that is exported to a collector by OTLP over HTTP.
//!
//! Spans and metrics are exported on threads of their own. If the collector is absent or hangs,
//! spans are lost and nothing else is delayed.

use std::fmt::Display;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use opentelemetry::metrics::MeterProvider;
use opentelemetry::trace::{
    SpanContext, SpanId, SpanKind, Status, TraceFlags, TraceId, TraceState,
};
use opentelemetry::{InstrumentationScope, KeyValue};
use opentelemetry_otlp::{
    MetricExporter, Protocol, SpanExporter, WithExportConfig, WithHttpConfig,
};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::metrics::{PeriodicReader, SdkMeterProvider};
use opentelemetry_sdk::trace::{
    BatchConfigBuilder, BatchSpanProcessor, SpanData, SpanEvents, SpanLinks, SpanProcessor,
};

use crate::error::Error;
use crate::metric::{Counter, Quantity};
use crate::name::Name;
use crate::otlp_client::OtlpClient;
use crate::otlp_metrics::OtlpMetrics;
use crate::span_record::SpanRecord;
use crate::telemetry::Telemetry;

const EXPORT_TIMEOUT_MS: u64 = 1_000;
const SCOPE_NAME: &str = "bergamotspan";
const SPAN_BATCH_SPANS: usize = 512;
const SPAN_QUEUE_SPANS: usize = 8_192;
const STOP_LIMIT_MS: u64 = 500;

/// Telemetry that is exported to a collector.
///
/// Dropping this exports what is queued, but waits no longer than half a second for it.
pub struct OtlpTelemetry {
    meter_provider: SdkMeterProvider,
    metrics: OtlpMetrics,
    scope: InstrumentationScope,
    spans: Arc<BatchSpanProcessor>,
}

impl OtlpTelemetry {
    /// Starts exporting to the collector at `address`, once per `export_interval_ms`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] if an exporter can't be set up.
    pub fn start(
        address: SocketAddr,
        export_interval_ms: u64,
        instance: &Name,
    ) -> Result<Self, Error> {
        let interval = Duration::from_millis(export_interval_ms);
        let resource = Resource::builder_empty()
            .with_service_name(SCOPE_NAME)
            .with_attribute(KeyValue::new("service.instance.id", instance.clone()))
            .build();
        let reader =
            PeriodicReader::builder(metric_exporter(address)?).with_interval(interval).build();
        let meter_provider =
            SdkMeterProvider::builder().with_reader(reader).with_resource(resource.clone()).build();
        let metrics = OtlpMetrics::new(&meter_provider.meter(SCOPE_NAME));
        let mut spans = span_processor(address, interval)?;
        spans.set_resource(&resource);
        let scope = InstrumentationScope::builder(SCOPE_NAME).build();
        Ok(Self { meter_provider, metrics, scope, spans: Arc::new(spans) })
    }
}

impl Drop for OtlpTelemetry {
    fn drop(&mut self) {
        let (stopped, stop_done) = flume::bounded(1);
        let (meter_provider, spans) = (self.meter_provider.clone(), self.spans.clone());
        let limit = Duration::from_millis(STOP_LIMIT_MS);
        thread::spawn(move || {
            let _ = spans.shutdown_with_timeout(limit);
            let _ = meter_provider.shutdown_with_timeout(limit);
            let _ = stopped.send(());
        });
        let _ = stop_done.recv_timeout(limit);
    }
}

impl Telemetry for OtlpTelemetry {
    fn count(&self, counter: Counter, amount: u64) {
        self.metrics.count(counter, amount);
    }

    fn measure(&self, quantity: Quantity, value: u64) {
        self.metrics.measure(quantity, value);
    }

    fn span(&self, record: SpanRecord) {
        if record.context.sampled {
            self.spans.on_end(span_data(record, self.scope.clone()));
        }
    }
}

fn metric_exporter(address: SocketAddr) -> Result<MetricExporter, Error> {
    MetricExporter::builder()
        .with_http()
        .with_endpoint(format!("http://{address}/v1/metrics"))
        .with_http_client(OtlpClient { timeout_ms: EXPORT_TIMEOUT_MS })
        .with_protocol(Protocol::HttpJson)
        .build()
        .map_err(|error| setup_error(&error))
}

fn span_processor(address: SocketAddr, interval: Duration) -> Result<BatchSpanProcessor, Error> {
    let exporter = SpanExporter::builder()
        .with_http()
        .with_endpoint(format!("http://{address}/v1/traces"))
        .with_http_client(OtlpClient { timeout_ms: EXPORT_TIMEOUT_MS })
        .with_protocol(Protocol::HttpJson)
        .build()
        .map_err(|error| setup_error(&error))?;
    let config = BatchConfigBuilder::default()
        .with_max_export_batch_size(SPAN_BATCH_SPANS)
        .with_max_queue_size(SPAN_QUEUE_SPANS)
        .with_scheduled_delay(interval)
        .build();
    Ok(BatchSpanProcessor::builder(exporter).with_batch_config(config).build())
}

fn setup_error<E>(error: &E) -> Error
where
    E: Display,
{
    Error::io("Starting the telemetry export failed", io::Error::other(error.to_string()))
}

fn span_data(record: SpanRecord, instrumentation_scope: InstrumentationScope) -> SpanData {
    let attributes =
        record.attributes.into_iter().map(|(name, value)| KeyValue::new(name, value)).collect();
    SpanData {
        attributes,
        dropped_attributes_count: 0,
        end_time: wall_clock(record.end_wall_clock_ms),
        events: SpanEvents::default(),
        instrumentation_scope,
        links: SpanLinks::default(),
        name: record.hop.name().into(),
        parent_span_id: record.parent_span_id.map_or(SpanId::INVALID, SpanId::from),
        parent_span_is_remote: false,
        span_context: SpanContext::new(
            TraceId::from(record.context.trace_id),
            SpanId::from(record.context.span_id),
            TraceFlags::SAMPLED,
            false,
            TraceState::NONE,
        ),
        span_kind: SpanKind::Internal,
        start_time: wall_clock(record.start_wall_clock_ms),
        status: Status::Unset,
    }
}

fn wall_clock(since_epoch_ms: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(since_epoch_ms)
}
