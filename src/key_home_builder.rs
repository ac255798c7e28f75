//! The settings of a key home, and its builder.

use crate::home_rules::HomeRules;
use crate::key_home::KeyHome;
use crate::membership_builder::{CLOCK_MARGIN_MS, KEY_LIFETIME_MS};

/// Default number of keys that are stored at once.
pub const CAPACITY: u32 = 200_000;
/// Default number of tiers.
pub const TIER_COUNT: u8 = 3;

/// Builds a key home.
#[derive(Clone, Copy, Debug)]
pub struct KeyHomeBuilder {
    pub(crate) capacity: u32,
    pub(crate) clock_margin_ms: u64,
    pub(crate) lifetime_ms: u64,
    pub(crate) rules: HomeRules,
    pub(crate) tier_count: u8,
}

impl Default for KeyHomeBuilder {
    fn default() -> Self {
        Self {
            capacity: CAPACITY,
            clock_margin_ms: CLOCK_MARGIN_MS,
            lifetime_ms: KEY_LIFETIME_MS,
            rules: HomeRules::default(),
            tier_count: TIER_COUNT,
        }
    }
}

impl KeyHomeBuilder {
    /// Sets how many keys are stored at once.
    #[must_use]
    pub fn capacity(mut self, capacity: u32) -> Self {
        self.capacity = capacity;
        self
    }

    /// Sets the largest skew between the wall clocks of two instances, in milliseconds.
    #[must_use]
    pub fn clock_margin_ms(mut self, clock_margin_ms: u64) -> Self {
        self.clock_margin_ms = clock_margin_ms;
        self
    }

    /// Sets the time for which a key is stored, in milliseconds.
    #[must_use]
    pub fn lifetime_ms(mut self, lifetime_ms: u64) -> Self {
        self.lifetime_ms = lifetime_ms;
        self
    }

    /// Sets which rules are in force, for tests.
    #[doc(hidden)]
    #[must_use]
    pub fn rules(mut self, rules: HomeRules) -> Self {
        self.rules = rules;
        self
    }

    /// Sets the number of tiers.
    #[must_use]
    pub fn tier_count(mut self, tier_count: u8) -> Self {
        self.tier_count = tier_count;
        self
    }

    /// Builds an empty key home.
    pub fn build(self) -> KeyHome {
        KeyHome::new(self)
    }
}
