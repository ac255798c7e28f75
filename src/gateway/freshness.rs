//! Records when the document in force was last proved to be the newest, and decides whether that is
//! recent enough.

/// Margin between the oldest proof with which keys are allowed and the bound, in milliseconds; it
/// covers the transmission of a request to a backend server.
const MARGIN_MS: u64 = 400;

/// Time at which the document in force was last proved to be the newest.
///
/// A proof counts from the time at which the query was sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    proved_ms: Option<u64>,
}

impl Freshness {
    /// Records that the document was the newest at `proved_ms` of the boot clock.
    pub fn record_proof(&mut self, proved_ms: u64) {
        self.proved_ms = self.proved_ms.max(Some(proved_ms));
    }

    /// Returns the age of the proof, in milliseconds, if there is one.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.proved_ms.map(|proved_ms| now_ms.saturating_sub(proved_ms))
    }

    /// Returns whether keys may be accepted, given that a revoked key must stop working within
    /// `revocation_ms`.
    pub fn allows_keys(&self, now_ms: u64, revocation_ms: Option<u64>) -> bool {
        match (revocation_ms, self.age_ms(now_ms)) {
            (None, _) => true,
            (Some(bound_ms), Some(age_ms)) => age_ms < bound_ms.saturating_sub(MARGIN_MS),
            (Some(_), None) => false,
        }
    }

    /// Returns whether the proof is at most `limit_ms` old.
    pub fn is_within(&self, now_ms: u64, limit_ms: u64) -> bool {
        self.age_ms(now_ms).is_some_and(|age_ms| age_ms <= limit_ms)
    }
}
