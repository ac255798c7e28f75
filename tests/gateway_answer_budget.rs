//! Tests of the limit and the shared budget for answers that are buffered.

use bergamotspan::gateway::answer_budget::{AnswerBudget, AnswerBuffer, BufferFull};
use bytes::Bytes;
use proptest::prelude::*;

const KIB: usize = 1_024;
/// Part of each answer that needs no budget.
const UNCOUNTED: usize = 16 * KIB;

fn filled(budget: &AnswerBudget, bytes: usize) -> Result<AnswerBuffer, BufferFull> {
    let mut buffer = AnswerBuffer::new(budget, 100 * KIB);
    buffer.push(&vec![b'a'; bytes])?;
    Ok(buffer)
}

#[test]
fn an_answer_of_exactly_the_limit_passes_and_one_byte_more_does_not() {
    let budget = AnswerBudget::new(1_000 * KIB);
    let mut buffer = filled(&budget, 100 * KIB).expect("an answer within the limit");
    assert_eq!(buffer.push(b"b"), Err(BufferFull::TooLong(100 * KIB)));
    assert_eq!(buffer.into_bytes(), vec![b'a'; 100 * KIB]);
}

#[test]
fn an_announced_length_above_the_limit_is_found_before_any_byte() {
    let buffer = AnswerBuffer::new(&AnswerBudget::new(1_000 * KIB), 100 * KIB);
    assert_eq!(buffer.check_length(100 * KIB as u64), Ok(()));
    for bytes in [100 * KIB as u64 + 1, u64::MAX] {
        assert_eq!(buffer.check_length(bytes), Err(BufferFull::TooLong(100 * KIB)));
    }
}

#[test]
fn the_answer_that_exceeds_the_budget_fails_and_the_others_stay() {
    let budget = AnswerBudget::new(100 * KIB);
    let first = filled(&budget, 80 * KIB).expect("an answer within the budget");
    let taken = budget.free_bytes();
    assert_eq!(filled(&budget, 80 * KIB).err(), Some(BufferFull::BudgetUsedUp));
    assert_eq!(budget.free_bytes(), taken);
    assert_eq!(first.into_bytes().len(), 80 * KIB);
    assert!(filled(&budget, 80 * KIB).is_ok());
}

#[test]
fn short_answers_pass_while_the_budget_is_used_up() {
    let budget = AnswerBudget::new(84 * KIB);
    let _first = filled(&budget, 100 * KIB).expect("an answer within the budget");
    assert_eq!(budget.free_bytes(), 0);
    assert!(filled(&budget, UNCOUNTED).is_ok());
    assert_eq!(filled(&budget, UNCOUNTED + 1).err(), Some(BufferFull::BudgetUsedUp));
}

#[test]
fn a_complete_answer_takes_its_share_until_its_last_part_is_dropped() {
    let budget = AnswerBudget::new(100 * KIB);
    let bytes = filled(&budget, 80 * KIB).expect("an answer within the budget").into_bytes();
    let part = bytes.slice(..10);
    drop(bytes);
    assert!(budget.free_bytes() < 100 * KIB);
    drop(part);
    assert_eq!(budget.free_bytes(), 100 * KIB);
}

#[test]
fn a_share_that_shrinks_gives_back_the_difference() {
    let budget = AnswerBudget::new(100 * KIB);
    let mut share = budget.share();
    assert!(share.resize(UNCOUNTED + 100 * KIB));
    assert!(!share.resize(UNCOUNTED + 100 * KIB + 1));
    assert_eq!(budget.free_bytes(), 0);
    assert!(share.resize(UNCOUNTED + 40 * KIB));
    assert_eq!(budget.free_bytes(), 60 * KIB);
    drop(share.attach_to(Bytes::from_static(b"a")));
    assert_eq!(budget.free_bytes(), 100 * KIB);
}

// One faulty server that held its answers back used up what all servers share.
#[test]
fn the_answers_of_one_server_leave_as_much_to_others_as_they_hold() {
    let budget = AnswerBudget::new(200 * KIB);
    let fill = |server: &str, bytes: usize| {
        let mut buffer = AnswerBuffer::of_server(&budget, &server.into(), 100 * KIB);
        buffer.push(&vec![b'a'; bytes])?;
        Ok::<_, BufferFull>(buffer)
    };
    let greedy: Vec<_> = (0..8).map_while(|_| fill("m-1", 40 * KIB).ok()).collect();
    assert_eq!(greedy.len(), 4);
    let others: Vec<_> = (0..8).map_while(|_| fill("m-2", 40 * KIB).ok()).collect();
    assert_eq!(others.len(), 2);
    assert!(fill("m-3", 40 * KIB).is_ok());
    drop(greedy);
    drop(others);
    assert_eq!(budget.free_bytes(), 200 * KIB);
    assert!(fill("m-1", 100 * KIB).is_ok());
}

proptest! {
    /// What buffers hold beyond their uncounted part never exceeds the budget, and all comes back.
    #[test]
    fn buffers_never_hold_more_than_the_budget(
        pushes in prop::collection::vec((0_usize..8, 1_usize..40 * KIB, any::<bool>()), 1..200),
    ) {
        let size = 150 * KIB;
        let budget = AnswerBudget::new(size);
        let mut held: Vec<Option<(AnswerBuffer, usize)>> = (0..8).map(|_| None).collect();
        for (index, bytes, drops) in pushes {
            let slot = &mut held[index];
            if drops {
                *slot = None;
            }
            let (mut buffer, length) =
                slot.take().unwrap_or_else(|| (AnswerBuffer::new(&budget, 100 * KIB), 0));
            if buffer.push(&vec![b'a'; bytes]).is_ok() {
                *slot = Some((buffer, length + bytes));
            }
            let counted: usize =
                held.iter().flatten().map(|(_, length)| length.saturating_sub(UNCOUNTED)).sum();
            prop_assert!(counted + budget.free_bytes() <= size);
        }
        drop(held);
        prop_assert_eq!(budget.free_bytes(), size);
    }
}
