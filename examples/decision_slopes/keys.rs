//! Cost of a key home that grants and holds keys.

use bergamotspan::home_eligibility::HomeEligibility;
use bergamotspan::key_home::KeyHome;
use bergamotspan::key_home_builder::KeyHomeBuilder;
use bergamotspan::now::Now;
use bergamotspan::peer_message::KeyClaim;
use bergamotspan::request_id::RequestId;
use standins::capacity::Series;
use uuid::{NoContext, Timestamp, Uuid};

use crate::cost::{measure_series, processor_us_of};
use crate::memory_case::MemoryCase;

const KEY_COUNTS: [u64; 4] = [50_000, 100_000, 150_000, 200_000];
const ELIGIBLE_SINCE: Now = Now { monotonic_ms: 10_000, wall_clock_ms: 1_700_000_000_000 };
/// Time from the eligibility of the home to the minting of the keys, in seconds.
const MINTED_AFTER_S: u64 = 60;
const VARIED: &str = "keys held";

pub fn measure(divisor: u64) -> Vec<Series> {
    let sizes = KEY_COUNTS.map(|keys| keys / divisor);
    vec![
        measure_series(VARIED, "all claims, us of processor", &sizes, |keys| {
            processor_us_of(|| filled_key_home(keys))
        }),
        measure_series(VARIED, "memory, bytes", &sizes, |keys| MemoryCase::Keys.measure(keys)),
    ]
}

/// Returns a home that has granted `keys` keys.
pub fn filled_key_home(keys: u64) -> KeyHome {
    let mut home = KeyHomeBuilder::default().capacity(u32::MAX).build();
    let eligibility = HomeEligibility::Eligible { since: ELIGIBLE_SINCE };
    let now = Now {
        monotonic_ms: ELIGIBLE_SINCE.monotonic_ms + MINTED_AFTER_S * 1_000,
        wall_clock_ms: ELIGIBLE_SINCE.wall_clock_ms + MINTED_AFTER_S * 1_000,
    };
    for sequence in 0..keys {
        home.claim(now, &claim(sequence, now), &eligibility, true, 1);
    }
    assert_eq!(home.len() as u64, keys, "every key is granted");
    home
}

fn claim(sequence: u64, now: Now) -> KeyClaim {
    let time = Timestamp::from_unix(NoContext, now.wall_clock_ms / 1_000, 0);
    KeyClaim {
        fingerprint: sequence,
        key: Uuid::new_v7(time).to_string().into(),
        list_version: 1,
        request: RequestId { instance: "entry-1".into(), incarnation: u64::MAX / 3, sequence },
        tier_rank: 0,
    }
}
