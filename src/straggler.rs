//! Detects stragglers: backend servers that are much slower than usual and than their peers.

/// Slowdown against its usual speed and its peers above which a server is a straggler, in percent.
const SLOWED_PERCENT: f64 = 200.0;
/// Slowdown at which it gets one request at a time, in percent.
const PROBE_PERCENT: f64 = 400.0;
/// Slowdown below which a straggler has recovered, in percent.
const RECOVERED_PERCENT: f64 = 150.0;
/// Idle time after which a straggler is rated at its usual speed again, in milliseconds.
pub const PROBE_INTERVAL_MS: u64 = 2_000;
/// Measurements before a server can be a straggler.
const TRUSTED_MEASUREMENTS: u32 = 8;
const RECENT_WEIGHT: f64 = 0.3;
const USUAL_WEIGHT: f64 = 0.02;

/// How much work a backend server gets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pace {
    /// Its whole limit.
    Whole,
    /// A share of its limit, in percent.
    Share(u64),
    /// One request at a time.
    Probe,
}

/// Recent and usual time between tokens of one backend server.
#[derive(Clone, Debug, Default)]
pub struct Straggler {
    measurements: u32,
    recent_ms: f64,
    slowed: bool,
    usual_ms: f64,
}

impl Straggler {
    /// Records a time between tokens, given the median of the peers' recent ones, in milliseconds.
    pub fn measure(&mut self, between_tokens_ms: u64, peers_ms: Option<f64>) {
        let measured_ms = between_tokens_ms.max(1) as f64;
        if self.measurements == 0 {
            self.recent_ms = measured_ms;
            self.usual_ms = measured_ms;
        }
        self.measurements = self.measurements.saturating_add(1);
        self.recent_ms += RECENT_WEIGHT * (measured_ms - self.recent_ms);
        self.slowed = self.is_slowed(peers_ms);
        if !self.slowed {
            self.usual_ms += USUAL_WEIGHT * (measured_ms - self.usual_ms);
        }
    }

    /// Returns how much work the server gets.
    pub fn pace(&self) -> Pace {
        let percent = self.slowdown_percent();
        match self.slowed {
            false => Pace::Whole,
            true if percent >= PROBE_PERCENT => Pace::Probe,
            true => Pace::Share((10_000.0 / percent) as u64),
        }
    }

    /// Returns the recent time between tokens, in milliseconds, once measured.
    pub fn recent_ms(&self) -> Option<f64> {
        (self.measurements > 0).then_some(self.recent_ms)
    }

    /// Returns the usual time between tokens, in milliseconds, once measured.
    pub fn usual_ms(&self) -> Option<f64> {
        (self.measurements > 0).then_some(self.usual_ms)
    }

    fn is_slowed(&self, peers_ms: Option<f64>) -> bool {
        let percent = self.slowdown_percent();
        if self.slowed {
            return percent > RECOVERED_PERCENT;
        }
        let slower_than_peers =
            peers_ms.is_none_or(|peers_ms| self.recent_ms * 100.0 > peers_ms * SLOWED_PERCENT);
        self.measurements >= TRUSTED_MEASUREMENTS && percent > SLOWED_PERCENT && slower_than_peers
    }

    fn slowdown_percent(&self) -> f64 {
        self.recent_ms * 100.0 / self.usual_ms.max(1.0)
    }
}
