//! Tests of the home of keys: which claims it grants.
//!
//! A key that is granted to two requests runs twice. That must not happen when a key is sent again,
//! after the home changed, when a clock steps back, or when the home is full.

use bergamotspan::home_eligibility::{HomeEligibility, IneligibleReason};
use bergamotspan::key_home::KeyHome;
use bergamotspan::key_home_builder::KeyHomeBuilder;
use bergamotspan::key_minting::minted_ms;
use bergamotspan::name::Name;
use bergamotspan::now::Now;
use bergamotspan::peer_message::{KeyClaim, KeyRefusal, KeyVerdict};
use bergamotspan::request_id::RequestId;
use uuid::Builder;

const CAPACITY: u32 = 20;
const EPOCH_MS: u64 = 1_800_000_000_000;
const LIFETIME_MS: u64 = 10_000;
const LIST_VERSION: u64 = 5;
const MARGIN_MS: u64 = 100;
/// Default time of claims, counted from when the home became eligible.
const USUAL_MS: u64 = 5_000;

/// A home that became eligible at time 0 of the test.
struct Home {
    home: KeyHome,
    list_version: u64,
    is_home: bool,
    eligibility: HomeEligibility,
    time_ms: u64,
}

impl Home {
    fn eligible() -> Self {
        let home = KeyHomeBuilder::default()
            .capacity(CAPACITY)
            .clock_margin_ms(MARGIN_MS)
            .lifetime_ms(LIFETIME_MS)
            .tier_count(3)
            .build();
        let eligibility = HomeEligibility::Eligible { since: at(0) };
        Self { home, list_version: LIST_VERSION, is_home: true, eligibility, time_ms: USUAL_MS }
    }

    fn at(mut self, time_ms: u64) -> Self {
        self.time_ms = time_ms;
        self
    }

    fn claim(&mut self, claim: &KeyClaim) -> KeyVerdict {
        let now = at(self.time_ms);
        self.home.claim(now, claim, &self.eligibility, self.is_home, self.list_version)
    }
}

/// A claim of a key minted at a time of the test.
struct Claim(KeyClaim);

impl Claim {
    fn minted_at(time_ms: u64, number: u64) -> Self {
        let mut random = [0; 10];
        random[2..].copy_from_slice(&number.to_be_bytes());
        let uuid = Builder::from_unix_timestamp_millis(EPOCH_MS + time_ms, &random).into_uuid();
        Self::of(&uuid.to_string())
    }

    fn of(key: &str) -> Self {
        let (key, request) = (key.into(), request(1));
        let list_version = LIST_VERSION;
        Self(KeyClaim { fingerprint: 7, key, list_version, request, tier_rank: 0 })
    }

    fn by(mut self, sequence: u64) -> KeyClaim {
        self.0.request = request(sequence);
        self.0
    }

    fn rank(mut self, tier_rank: u8) -> Self {
        self.0.tier_rank = tier_rank;
        self
    }
}

fn at(time_ms: u64) -> Now {
    Now { monotonic_ms: 1_000_000 + time_ms, wall_clock_ms: EPOCH_MS + time_ms }
}

fn refusal(verdict: &KeyVerdict) -> Option<KeyRefusal> {
    match verdict {
        KeyVerdict::Refused { reason, .. } => Some(*reason),
        _ => None,
    }
}

fn request(sequence: u64) -> RequestId {
    RequestId { instance: "entry-1".into(), incarnation: 3, sequence }
}

#[test]
fn a_fresh_key_is_granted_once_and_again_to_its_holder() {
    let mut home = Home::eligible();

    assert_eq!(home.claim(&Claim::minted_at(4_900, 1).by(1)), KeyVerdict::Granted);
    assert_eq!(home.claim(&Claim::minted_at(4_900, 1).by(1)), KeyVerdict::Granted);
    let second = home.claim(&Claim::minted_at(4_900, 1).by(2));

    assert_eq!(second, KeyVerdict::Held { by: request(1) });
    assert_eq!(home.home.len(), 1);
}

#[test]
fn another_body_is_refused() {
    let mut home = Home::eligible();
    home.claim(&Claim::minted_at(4_900, 1).by(1));
    let mut other = Claim::minted_at(4_900, 1).by(2);
    other.fingerprint = 8;

    assert_eq!(home.claim(&other), KeyVerdict::BodyDiffers);
}

#[test]
fn another_list_version_is_refused() {
    let mut home = Home::eligible();
    home.list_version = LIST_VERSION + 1;

    let verdict = home.claim(&Claim::minted_at(4_900, 1).by(1));

    assert_eq!(refusal(&verdict), Some(KeyRefusal::OtherList));
}

#[test]
fn an_instance_that_is_not_the_eligible_home_refuses() {
    let mut other = Home::eligible();
    other.is_home = false;
    let mut settling = Home::eligible();
    settling.eligibility = HomeEligibility::Ineligible { reason: IneligibleReason::Settling };

    for home in [&mut other, &mut settling] {
        let verdict = home.claim(&Claim::minted_at(4_900, 1).by(1));
        assert_eq!(refusal(&verdict), Some(KeyRefusal::NotHome));
        assert!(home.home.is_empty());
    }
}

#[test]
fn a_key_minted_before_the_home_was_eligible_is_unknown() {
    let margins_ms = 2 * MARGIN_MS;

    let verdicts = [0, margins_ms, margins_ms + 1]
        .map(|minted_ms| Home::eligible().claim(&Claim::minted_at(minted_ms, 1).by(1)));

    assert_eq!(verdicts, [KeyVerdict::Unknown, KeyVerdict::Unknown, KeyVerdict::Granted]);
}

#[test]
fn a_key_without_a_minting_time_is_unknown_for_one_lifetime() {
    let wait_ms = LIFETIME_MS + MARGIN_MS;

    let verdicts = [0, wait_ms, wait_ms + 1]
        .map(|ms| Home::eligible().at(ms).claim(&Claim::of("table").by(1)));

    assert_eq!(verdicts, [KeyVerdict::Unknown, KeyVerdict::Unknown, KeyVerdict::Granted]);
}

#[test]
fn a_key_from_the_future_is_refused_beyond_the_margin() {
    let mut home = Home::eligible();

    let within = home.claim(&Claim::minted_at(USUAL_MS + MARGIN_MS, 1).by(1));
    let beyond = home.claim(&Claim::minted_at(USUAL_MS + MARGIN_MS + 1, 2).by(2));

    assert_eq!(within, KeyVerdict::Granted);
    assert_eq!(refusal(&beyond), Some(KeyRefusal::MintedInFuture));
}

#[test]
fn an_old_key_is_refused() {
    let mut home = Home::eligible().at(1_000 + LIFETIME_MS + 1);

    let verdict = home.claim(&Claim::minted_at(1_000, 1).by(1));

    assert_eq!(refusal(&verdict), Some(KeyRefusal::TooOld));
}

#[test]
fn a_key_expires_only_when_it_is_too_old() {
    let mut home = Home::eligible();
    home.claim(&Claim::minted_at(USUAL_MS, 1).by(1));

    for time_ms in (USUAL_MS..USUAL_MS + 3 * LIFETIME_MS).step_by(50) {
        home.time_ms = time_ms;
        let verdict = home.claim(&Claim::minted_at(USUAL_MS, 1).by(2));
        let held = verdict == KeyVerdict::Held { by: request(1) };
        assert!(held || refusal(&verdict) == Some(KeyRefusal::TooOld), "{time_ms}: {verdict:?}");
    }

    assert!(home.home.is_empty());
}

#[test]
fn a_wall_clock_that_steps_back_frees_no_key() {
    let mut home = Home::eligible();
    home.claim(&Claim::minted_at(USUAL_MS, 1).by(1));
    home.home.expire(at(USUAL_MS + LIFETIME_MS + 1));

    home.time_ms = USUAL_MS + 100;
    let verdict = home.claim(&Claim::minted_at(USUAL_MS, 1).by(2));

    assert_eq!(refusal(&verdict), Some(KeyRefusal::TooOld));
}

#[test]
fn a_full_home_refuses_the_lowest_tier_first() {
    let mut home = Home::eligible();
    let mut granted_by_rank = [0; 3];

    for rank in [2, 1, 0] {
        for number in 0..u64::from(CAPACITY) * 2 {
            let number = u64::from(rank) * 1_000 + number;
            let verdict = home.claim(&Claim::minted_at(USUAL_MS, number).rank(rank).by(number));
            granted_by_rank[usize::from(rank)] += u32::from(verdict == KeyVerdict::Granted);
            let expected =
                verdict == KeyVerdict::Granted || refusal(&verdict) == Some(KeyRefusal::Full);
            assert!(expected, "{verdict:?}");
        }
    }

    assert_eq!(granted_by_rank, [1, 1, CAPACITY * 9 / 10]);
    assert_eq!(home.home.len(), CAPACITY as usize);
}

#[test]
fn a_full_home_still_answers_for_its_keys() {
    let mut home = Home::eligible();
    for number in 0..u64::from(CAPACITY) {
        home.claim(&Claim::minted_at(USUAL_MS, number).by(number));
    }

    let verdict = home.claim(&Claim::minted_at(USUAL_MS, 3).by(99));

    assert_eq!(verdict, KeyVerdict::Held { by: request(3) });
}

#[test]
fn only_the_holder_releases_a_key() {
    let mut home = Home::eligible();
    let claim = Claim::minted_at(USUAL_MS, 1).by(1);
    home.claim(&claim);

    home.home.release(&claim.key, &request(2));
    let held = home.claim(&Claim::minted_at(USUAL_MS, 1).by(2));
    home.home.release(&claim.key, &request(1));
    let free = home.claim(&Claim::minted_at(USUAL_MS, 1).by(2));

    assert_eq!(held, KeyVerdict::Held { by: request(1) });
    assert_eq!(free, KeyVerdict::Granted);
}

#[test]
fn a_successor_answers_for_the_keys_that_were_handed_over() {
    let mut stopping = Home::eligible();
    stopping.claim(&Claim::minted_at(USUAL_MS, 1).by(1));
    let mut successor = Home::eligible().at(USUAL_MS + 500);
    successor.eligibility = HomeEligibility::Eligible { since: at(USUAL_MS + 400) };

    successor.home.accept_handover(at(USUAL_MS + 100), stopping.home.hand_over());
    let handed_over = successor.claim(&Claim::minted_at(USUAL_MS, 1).by(2));
    let not_handed_over = successor.claim(&Claim::minted_at(USUAL_MS, 2).by(3));
    let stopped = stopping.claim(&Claim::minted_at(USUAL_MS, 3).by(4));

    assert_eq!(handed_over, KeyVerdict::Held { by: request(1) });
    assert_eq!(not_handed_over, KeyVerdict::Unknown);
    assert_eq!(refusal(&stopped), Some(KeyRefusal::NotHome));
}

#[test]
fn records_handed_over_stay_within_the_capacity() {
    let mut first = Home::eligible();
    let mut second = Home::eligible();
    for number in 0..u64::from(CAPACITY) {
        first.claim(&Claim::minted_at(USUAL_MS, number).by(number));
        second.claim(&Claim::minted_at(USUAL_MS, 1_000 + number).by(number));
    }

    second.home.accept_handover(at(USUAL_MS), first.home.hand_over());

    assert_eq!(second.home.len(), CAPACITY as usize);
}

#[test]
fn only_a_version_7_uuid_has_a_time_of_minting() {
    let version_7: Name = Claim::minted_at(1_234, 1).by(1).key;

    assert_eq!(minted_ms(&version_7), Some(EPOCH_MS + 1_234));
    assert_eq!(minted_ms("f47ac10b-58cc-4372-a567-0e02b2c3d479"), None);
    assert_eq!(minted_ms("table-14"), None);
}
