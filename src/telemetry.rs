//! The interface through which all parts record spans and metrics.

use std::sync::Arc;

use crate::error::Error;
use crate::metric::{Counter, Quantity};
use crate::name::Name;
use crate::otlp_telemetry::OtlpTelemetry;
use crate::settings::TelemetrySettings;
use crate::span_record::SpanRecord;

/// Records spans and metrics; no call blocks.
pub trait Telemetry: Send + Sync {
    /// Adds to a counter.
    fn count(&self, counter: Counter, amount: u64);

    /// Records one value of a quantity.
    fn measure(&self, quantity: Quantity, value: u64);

    /// Records a finished span.
    fn span(&self, record: SpanRecord);
}

/// Disabled telemetry, which discards everything.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoTelemetry;

impl Telemetry for NoTelemetry {
    fn count(&self, _counter: Counter, _amount: u64) {}

    fn measure(&self, _quantity: Quantity, _value: u64) {}

    fn span(&self, _record: SpanRecord) {}
}

/// Starts the telemetry that the settings specify.
///
/// # Errors
///
/// Returns [`Error::Io`] if the exporter can't be set up.
pub fn start(settings: &TelemetrySettings, instance: &Name) -> Result<Arc<dyn Telemetry>, Error> {
    match settings.otlp_address {
        None => Ok(Arc::new(NoTelemetry)),
        Some(address) => {
            Ok(Arc::new(OtlpTelemetry::start(address, settings.export_interval_ms, instance)?))
        }
    }
}
