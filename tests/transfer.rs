//! Tests how long a transfer of state may last.

use bergamotspan::transfer::Transfer;

const START_MS: u64 = 1_000_000;
const ANSWER_LIMIT_MS: u64 = 400;

/// Receives pieces of this size at this interval; returns how many arrive before the transfer is
/// given up, at most `pieces`.
fn received(pieces: usize, piece_bytes: usize, interval_ms: u64) -> usize {
    let mut transfer = Transfer::new(START_MS, ANSWER_LIMIT_MS);
    transfer.record_begin(START_MS);
    let mut now_ms = START_MS;
    for number in 0..pieces {
        if transfer.time_left_ms(now_ms) < interval_ms {
            return number;
        }
        now_ms += interval_ms;
        transfer.record_bytes(now_ms, piece_bytes);
    }
    pieces
}

#[test]
fn a_transfer_that_goes_on_is_not_given_up_whatever_its_length() {
    // 8 MiB at 1 Mbit/s, in packets.
    assert_eq!(received(5_800, 1_448, 11), 5_800);
    // The same in bursts.
    assert_eq!(received(200, 42_000, 400), 200);
}

#[test]
fn a_transfer_that_trickles_is_given_up() {
    assert!(received(1_000, 1, 10) < 100);
    assert!(received(1_000, 100, 20) < 100);
}

#[test]
fn a_transfer_that_falls_silent_is_given_up_however_much_arrived_before() {
    let mut transfer = Transfer::new(START_MS, ANSWER_LIMIT_MS);
    transfer.record_begin(START_MS + 300);
    transfer.record_bytes(START_MS + 400, 8_000_000);
    assert_eq!(transfer.time_left_ms(START_MS + 400), 500);
    assert_eq!(transfer.time_left_ms(START_MS + 900), 0);
    assert_eq!((transfer.received_bytes(), transfer.elapsed_ms(START_MS + 900)), (8_000_000, 900));
}

#[test]
fn an_answer_that_does_not_begin_is_given_up_at_its_limit() {
    let transfer = Transfer::new(START_MS, ANSWER_LIMIT_MS);
    assert_eq!(transfer.time_left_ms(START_MS + 100), 300);
    assert_eq!(transfer.time_left_ms(START_MS + 500), 0);
}

#[test]
fn bytes_that_waited_while_the_instance_stood_still_count() {
    let mut transfer = Transfer::new(START_MS, ANSWER_LIMIT_MS);
    transfer.record_begin(START_MS);
    transfer.record_bytes(START_MS + 5_000, 14_480);
    assert_eq!(transfer.time_left_ms(START_MS + 5_000), 500);
}
