//! The home of idempotency keys: decides which request holds which key.
//!
//! A key is granted only by its eligible home, only if claimant and home use the same list
//! version, and only if it was minted later than the time at which the home became eligible plus
//! twice the clock margin, or later than a floor that the former homes proved by their seals
//! ([`crate::key_handover`]). The margin counts twice: once for the skew between this clock and the predecessor's, once for a
//! key that the predecessor granted although it was minted in the future by up to the margin. A
//! key without a minting time counts as minted before until the home has been eligible for one key
//! lifetime plus the clock margin.
//!
//! Records handed over without a seal answer claims of their own keys with the request that holds
//! them. They never make a key grantable to another request: a key without a record may still have
//! been granted by a home before the one that handed over.

use std::collections::BTreeMap;

use crate::home_eligibility::HomeEligibility;
use crate::key_home_builder::KeyHomeBuilder;
use crate::key_minting::minted_ms;
use crate::name::Name;
use crate::now::Now;
use crate::peer_message::{KeyClaim, KeyRecord, KeyRefusal, KeyVerdict};
use crate::request_id::RequestId;

const NOT_HOME_RETRY_AFTER_MS: u64 = 1_000;
const OTHER_LIST_RETRY_AFTER_MS: u64 = 500;
/// Divisor of the capacity that gives the part closed to the lowest tier; tiers between the lowest
/// and the highest are kept out of a smaller part.
const RESERVE_DIVISOR: u64 = 10;
const SKEW_MARGINS: u64 = 2;

/// Records which request holds which key, within a fixed capacity.
///
/// Keys are stored in two B-trees, by key and by expiry time. An insert into a sorted vector
/// would move half of the entries, and a node at the design size holds tens of thousands.
#[derive(Clone, Debug)]
pub struct KeyHome {
    by_expiry: BTreeMap<(u64, Name), ()>,
    handed_over: bool,
    records: BTreeMap<Name, StoredRecord>,
    settings: KeyHomeBuilder,
    wall_clock_ms: u64,
}

#[derive(Clone, Debug)]
struct StoredRecord {
    expires_wall_clock_ms: u64,
    /// List under which the key was granted here, or which its former home has left.
    list_version: u64,
    record: KeyRecord,
}

enum CheckResult {
    Answer(KeyVerdict),
    Continue,
}

impl KeyHome {
    pub(crate) fn new(settings: KeyHomeBuilder) -> Self {
        Self {
            by_expiry: BTreeMap::new(),
            handed_over: false,
            records: BTreeMap::new(),
            settings,
            wall_clock_ms: 0,
        }
    }

    /// Stores the records that a stopping home handed over.
    ///
    /// A record for a key that is held here already is ignored. Records beyond the capacity are
    /// dropped, which is safe: without its record an earlier key is answered with `Unknown`.
    pub fn accept_handover(&mut self, now: Now, records: Vec<KeyRecord>) {
        self.expire(now);
        for record in records {
            let has_room = (self.records.len() as u64) < u64::from(self.settings.capacity);
            if has_room && !self.records.contains_key(&record.key) {
                self.store(record, 0);
            }
        }
        self.expire(now);
    }

    /// Stores the records of keys that a former home handed over when it left a list, in place of
    /// records of that list and earlier ones. Returns whether all of them had room.
    pub fn accept_sealed(&mut self, now: Now, list_version: u64, records: Vec<KeyRecord>) -> bool {
        self.expire(now);
        let mut has_room = true;
        for record in records {
            let known = self.records.get(&record.key);
            if known.is_some_and(|known| known.list_version > list_version) {
                continue;
            }
            self.remove(&record.key);
            if (self.records.len() as u64) < u64::from(self.settings.capacity) {
                self.store(record, list_version);
            } else {
                has_room = false;
            }
        }
        self.expire(now);
        has_room
    }

    /// Answers a claim.
    ///
    /// A claim repeated by the request that holds the key is granted again.
    pub fn claim(
        &mut self,
        now: Now,
        claim: &KeyClaim,
        eligibility: &HomeEligibility,
        is_home: bool,
        list_version: u64,
    ) -> KeyVerdict {
        self.claim_covered(now, claim, eligibility, is_home, list_version, None)
    }

    /// Answers a claim as [`KeyHome::claim`] does; all grants of this key by any home are known
    /// here if it was minted later than the wall-clock time `covered_from_ms`.
    pub fn claim_covered(
        &mut self,
        now: Now,
        claim: &KeyClaim,
        eligibility: &HomeEligibility,
        is_home: bool,
        list_version: u64,
        covered_from_ms: Option<u64>,
    ) -> KeyVerdict {
        self.expire(now);
        let since = match self.check_home(claim, eligibility, is_home, list_version) {
            Ok(since) => since,
            Err(verdict) => return verdict,
        };
        if let CheckResult::Answer(verdict) = self.check_record(claim) {
            return verdict;
        }
        if let CheckResult::Answer(verdict) =
            self.check_minting(now, &claim.key, since, covered_from_ms)
        {
            return verdict;
        }
        if let CheckResult::Answer(verdict) = self.check_capacity(claim.tier_rank) {
            return verdict;
        }
        let record = KeyRecord {
            fingerprint: claim.fingerprint,
            granted_wall_clock_ms: self.wall_clock_ms,
            key: claim.key.clone(),
            request: claim.request.clone(),
        };
        self.store(record, list_version);
        KeyVerdict::Granted
    }

    /// Removes the keys whose lifetime has passed.
    ///
    /// The wall clock used here never decreases.
    pub fn expire(&mut self, now: Now) {
        self.wall_clock_ms = self.wall_clock_ms.max(now.wall_clock_ms);
        while let Some(((expires_wall_clock_ms, _), ())) = self.by_expiry.first_key_value() {
            if *expires_wall_clock_ms >= self.wall_clock_ms {
                return;
            }
            if let Some(((_, key), ())) = self.by_expiry.pop_first() {
                self.records.remove(&key);
            }
        }
    }

    /// Returns a copy of all records for the successors; from then on this home grants no keys.
    ///
    /// It still returns the holder of a key, for joins and cancels that arrive while it stops.
    pub fn hand_over(&mut self) -> Vec<KeyRecord> {
        self.handed_over = true;
        self.records.values().map(|stored| stored.record.clone()).collect()
    }

    /// Returns the request that holds a key.
    pub fn holder(&self, key: &Name) -> Option<RequestId> {
        self.records.get(key).map(|held| held.record.request.clone())
    }

    /// Returns whether no key is stored.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of stored keys.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the records that meet a condition on their keys.
    pub fn records_where<F>(&self, condition: F) -> Vec<KeyRecord>
    where
        F: Fn(&Name) -> bool,
    {
        let chosen = self.records.iter().filter(|(key, _)| condition(key));
        chosen.map(|(_, stored)| stored.record.clone()).collect()
    }

    /// Releases a key if the request holds it, and returns whether it did.
    pub fn release(&mut self, key: &Name, request: &RequestId) -> bool {
        let is_held = self.records.get(key).is_some_and(|held| held.record.request == *request);
        if is_held {
            self.remove(key);
        }
        is_held
    }

    fn remove(&mut self, key: &Name) {
        if let Some(held) = self.records.remove(key) {
            self.by_expiry.remove(&(held.expires_wall_clock_ms, key.clone()));
        }
    }

    fn check_home(
        &self,
        claim: &KeyClaim,
        eligibility: &HomeEligibility,
        is_home: bool,
        list_version: u64,
    ) -> Result<Now, KeyVerdict> {
        if self.settings.rules.equal_list && claim.list_version != list_version {
            return Err(refused(KeyRefusal::OtherList, OTHER_LIST_RETRY_AFTER_MS));
        }
        match eligibility {
            HomeEligibility::Eligible { since } if is_home && !self.handed_over => Ok(*since),
            _ => Err(refused(KeyRefusal::NotHome, NOT_HOME_RETRY_AFTER_MS)),
        }
    }

    fn check_minting(
        &self,
        now: Now,
        key: &str,
        since: Now,
        covered_from_ms: Option<u64>,
    ) -> CheckResult {
        let Some(minted_ms) = minted_ms(key) else {
            return self.check_untimed(now, since);
        };
        let settings = self.settings;
        if minted_ms + settings.lifetime_ms < self.wall_clock_ms {
            return CheckResult::Answer(refused(KeyRefusal::TooOld, settings.lifetime_ms));
        }
        if settings.rules.future && minted_ms > now.wall_clock_ms + settings.clock_margin_ms {
            let early_ms = minted_ms - now.wall_clock_ms - settings.clock_margin_ms;
            return CheckResult::Answer(refused(KeyRefusal::MintedInFuture, early_ms));
        }
        let margin_ms = SKEW_MARGINS * settings.clock_margin_ms;
        let floor_ms = since.wall_clock_ms + margin_ms;
        let is_after = minted_ms > covered_from_ms.map_or(floor_ms, |ms| ms.min(floor_ms));
        answer_unknown_unless(is_after || !settings.rules.minted_after)
    }

    fn check_record(&self, claim: &KeyClaim) -> CheckResult {
        let Some(StoredRecord { record, .. }) = self.records.get(&claim.key) else {
            return CheckResult::Continue;
        };
        if record.fingerprint != claim.fingerprint {
            return CheckResult::Answer(KeyVerdict::BodyDiffers);
        }
        if record.request == claim.request {
            return CheckResult::Answer(KeyVerdict::Granted);
        }
        CheckResult::Answer(KeyVerdict::Held { by: record.request.clone() })
    }

    /// Answers `Full` once the share of a tier is used up: the whole capacity for the highest
    /// tier, nine tenths for the lowest, in equal steps between.
    fn check_capacity(&self, tier_rank: u8) -> CheckResult {
        let capacity = u64::from(self.settings.capacity);
        let lowest_rank = u64::from(self.settings.tier_count.saturating_sub(1)).max(1);
        let rank = u64::from(tier_rank).min(lowest_rank);
        let reserve = capacity.div_ceil(RESERVE_DIVISOR) * rank / lowest_rank;
        if (self.records.len() as u64) < capacity.saturating_sub(reserve) {
            return CheckResult::Continue;
        }
        CheckResult::Answer(refused(KeyRefusal::Full, self.next_expiry_delay_ms()))
    }

    fn check_untimed(&self, now: Now, since: Now) -> CheckResult {
        let eligible_ms = now.monotonic_ms.saturating_sub(since.monotonic_ms);
        let wait_ms = self.settings.lifetime_ms + self.settings.clock_margin_ms;
        answer_unknown_unless(eligible_ms > wait_ms || !self.settings.rules.minted_after)
    }

    fn store(&mut self, record: KeyRecord, list_version: u64) {
        let begin_ms = minted_ms(&record.key).unwrap_or(0).max(record.granted_wall_clock_ms);
        let expires_wall_clock_ms = begin_ms + self.settings.lifetime_ms;
        self.by_expiry.insert((expires_wall_clock_ms, record.key.clone()), ());
        let stored = StoredRecord { expires_wall_clock_ms, list_version, record };
        self.records.insert(stored.record.key.clone(), stored);
    }

    fn next_expiry_delay_ms(&self) -> u64 {
        let first = self.by_expiry.first_key_value();
        let expires_wall_clock_ms = first.map_or(0, |((time_ms, _), ())| *time_ms);
        expires_wall_clock_ms.saturating_sub(self.wall_clock_ms).max(1)
    }
}

fn answer_unknown_unless(is_safe: bool) -> CheckResult {
    if is_safe { CheckResult::Continue } else { CheckResult::Answer(KeyVerdict::Unknown) }
}

fn refused(reason: KeyRefusal, retry_after_ms: u64) -> KeyVerdict {
    KeyVerdict::Refused { reason, retry_after_ms }
}
