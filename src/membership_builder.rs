//! The settings of the membership decision, and its builder.

use crate::home_rules::HomeRules;
use crate::membership::Membership;
use crate::now::Now;
use crate::view::View;

/// Default time for which a confirmation is valid, in milliseconds.
pub const CONFIRMATION_WINDOW_MS: u64 = 3_000;
/// Default time between two heartbeats, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 500;
/// Default time for which a key is stored, in milliseconds.
pub const KEY_LIFETIME_MS: u64 = 600_000;
/// Default largest skew between the wall clocks of two instances, in milliseconds.
pub const CLOCK_MARGIN_MS: u64 = 1_000;

/// Builds the membership decision.
#[derive(Clone, Copy, Debug)]
pub struct MembershipBuilder {
    pub(crate) clock_margin_ms: u64,
    pub(crate) confirmation_window_ms: u64,
    pub(crate) heartbeat_interval_ms: u64,
    pub(crate) incarnation: u64,
    pub(crate) key_lifetime_ms: u64,
    pub(crate) rules: HomeRules,
}

impl MembershipBuilder {
    /// Creates a builder with the default times for an incarnation of this instance.
    pub fn new(incarnation: u64) -> Self {
        Self {
            clock_margin_ms: CLOCK_MARGIN_MS,
            confirmation_window_ms: CONFIRMATION_WINDOW_MS,
            heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
            incarnation,
            key_lifetime_ms: KEY_LIFETIME_MS,
            rules: HomeRules::default(),
        }
    }

    /// Sets the largest skew between the wall clocks of two instances, in milliseconds.
    #[must_use]
    pub fn clock_margin_ms(mut self, clock_margin_ms: u64) -> Self {
        self.clock_margin_ms = clock_margin_ms;
        self
    }

    /// Sets the time for which a confirmation is valid, in milliseconds.
    #[must_use]
    pub fn confirmation_window_ms(mut self, confirmation_window_ms: u64) -> Self {
        self.confirmation_window_ms = confirmation_window_ms;
        self
    }

    /// Sets the time between two heartbeats, in milliseconds.
    #[must_use]
    pub fn heartbeat_interval_ms(mut self, heartbeat_interval_ms: u64) -> Self {
        self.heartbeat_interval_ms = heartbeat_interval_ms;
        self
    }

    /// Sets the time for which a key is stored, in milliseconds.
    #[must_use]
    pub fn key_lifetime_ms(mut self, key_lifetime_ms: u64) -> Self {
        self.key_lifetime_ms = key_lifetime_ms;
        self
    }

    /// Sets which rules are in force, for tests.
    #[doc(hidden)]
    #[must_use]
    pub fn rules(mut self, rules: HomeRules) -> Self {
        self.rules = rules;
        self
    }

    /// Builds the decision at the start of the process, with the view of the first list.
    pub fn build(self, now: Now, view: View) -> Membership {
        Membership::start(self, now, view)
    }
}
