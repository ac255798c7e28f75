//! Tests status, outcome, reason, message and retry time of every final answer.

use bergamotspan::answers;
use bergamotspan::final_answer::{FinalAnswer, Outcome};
use bergamotspan::peer_message::KeyRefusal;
use bergamotspan::rules::RuleError;
use bergamotspan::scheduling::RefusalReason;

use Outcome::{Done, Failed, NotRun, Unknown};

/// One answer and its expected fields.
struct Expected(FinalAnswer, u16, Outcome, &'static str, &'static str, Option<u64>);

fn assert_answers(expected_answers: Vec<Expected>) {
    for Expected(answer, status, outcome, reason, message, retry_after_ms) in expected_answers {
        let expected = FinalAnswer {
            status,
            outcome,
            reason: reason.into(),
            message: message.into(),
            retry_after_ms,
        };
        assert_eq!(answer, expected);
    }
}

#[test]
fn answers_about_keys() {
    use answers::key_refused;
    assert_answers(vec![
        Expected(
            answers::key_home_silent(),
            503,
            NotRun,
            "key_home_silent",
            "The instance responsible for this key did not answer. The request did not run.",
            Some(1_000),
        ),
        Expected(
            key_refused(KeyRefusal::Full, 7),
            503,
            NotRun,
            "keys_full",
            "The memory for keys is full. The request did not run.",
            Some(7),
        ),
        Expected(
            key_refused(KeyRefusal::MintedInFuture, 7),
            400,
            NotRun,
            "key_minted_in_future",
            "The key was minted in the future. The request did not run.",
            None,
        ),
        Expected(
            key_refused(KeyRefusal::NotHome, 7),
            503,
            NotRun,
            "key_home_unconfirmed",
            "No instance is confirmed as responsible for this key now. The request did not run.",
            Some(7),
        ),
        Expected(
            key_refused(KeyRefusal::OtherList, 7),
            503,
            NotRun,
            "instance_lists_differ",
            "The list of instances is changing. The request did not run.",
            Some(7),
        ),
        Expected(
            key_refused(KeyRefusal::TooOld, 7),
            409,
            NotRun,
            "key_too_old",
            "The key is older than the key lifetime. This send did not run.",
            None,
        ),
        Expected(
            answers::key_unknown(),
            409,
            Unknown,
            "key_unknown",
            "The key was minted before the instance responsible for it took over. Whether an earlier \
             send of it ran can't be known; this send did not run.",
            None,
        ),
        Expected(
            answers::key_with_other_body(),
            422,
            NotRun,
            "key_with_other_body",
            "The key was used with another body. This send did not run.",
            None,
        ),
        Expected(
            answers::missing_key(),
            428,
            NotRun,
            "missing_key",
            "This request may not be repeated, so it needs an 'Idempotency-Key' header. The \
             request did not run.",
            None,
        ),
    ]);
}

#[test]
fn answers_about_joins_and_cancels() {
    assert_answers(vec![
        Expected(
            answers::already_ended(Done),
            409,
            Done,
            "already_ended",
            "The request of this key has ended, so there is nothing to cancel.",
            None,
        ),
        Expected(
            answers::answer_not_kept(),
            410,
            Unknown,
            "answer_not_kept",
            "The request of this key ran, but its answer is no longer kept.",
            None,
        ),
        Expected(
            answers::bad_offset(),
            400,
            Unknown,
            "bad_offset",
            "The query must be 'offset' with the number of tokens that the caller has, as in \
             '?offset=3'. Nothing ran under this call.",
            None,
        ),
        Expected(
            answers::cancelled(),
            499,
            Failed,
            "cancelled",
            "The request was cancelled while it ran.",
            None,
        ),
        Expected(
            answers::cancelled_before_run(),
            499,
            NotRun,
            "cancelled",
            "The request was cancelled before it ran.",
            None,
        ),
        Expected(
            answers::holder_unreachable(),
            502,
            Unknown,
            "holder_unreachable",
            "The instance that holds the request of this key can't be reached. The request may \
             have run.",
            Some(1_000),
        ),
        Expected(
            answers::no_such_key(Unknown),
            404,
            Unknown,
            "no_such_key",
            "No request with this key runs or is kept here.",
            None,
        ),
    ]);
}

#[test]
fn answers_about_runs_and_stops() {
    use answers::refused;
    assert_answers(vec![
        Expected(
            answers::deadline_passed(),
            504,
            NotRun,
            "deadline_passed",
            "The deadline passed before a backend server was free. The request did not run.",
            Some(1_000),
        ),
        Expected(
            answers::drain_limit_passed(),
            503,
            Failed,
            "drain_limit_passed",
            "The instance stopped before the request finished. It ran and was cancelled.",
            Some(1_000),
        ),
        Expected(
            answers::not_ready(),
            503,
            NotRun,
            "not_ready",
            "The instance has no configuration yet. The request did not run.",
            Some(1_000),
        ),
        Expected(
            refused(RefusalReason::CannotFinishInTime, 7),
            503,
            NotRun,
            "cannot_finish_in_time",
            "The request can't finish before its deadline by the estimate. It did not run.",
            Some(7),
        ),
        Expected(
            refused(RefusalReason::NoBackendServer, 7),
            503,
            NotRun,
            "no_backend_server",
            "No backend server of the service is in use. The request did not run.",
            Some(7),
        ),
        Expected(
            refused(RefusalReason::NoRoom, 7),
            503,
            NotRun,
            "no_room",
            "There is no room for more waiting requests. The request did not run.",
            Some(7),
        ),
        Expected(
            refused(RefusalReason::Quarantined, 7),
            503,
            NotRun,
            "quarantined",
            "Backend servers crashed while they ran this request. It is in quarantine for a while; \
             this send did not run.",
            Some(7),
        ),
        Expected(
            answers::run_failed("status 500"),
            502,
            Failed,
            "run_failed",
            "The backend server failed the request: status 500.",
            None,
        ),
        Expected(
            answers::stopping(),
            503,
            NotRun,
            "stopping",
            "The instance is stopping. The request did not run.",
            Some(1_000),
        ),
        Expected(
            answers::stream_lost(),
            502,
            Unknown,
            "stream_lost",
            "The backend server was lost after the request was sent. It may have run.",
            None,
        ),
    ]);
}

#[test]
fn answers_about_bad_input() {
    let customer = RuleError::UnknownCustomer { customer: "a".into(), hint: ".".into() };
    let service = RuleError::UnknownService { hint: ".".into(), service: "a".into() };
    let tier = RuleError::UnknownTier { hint: ".".into(), tier: "a".into() };
    let raised = RuleError::TierRaised { given: "b".into(), requested: "a".into() };
    let path = RuleError::PathNotNormal { path: "a/..".into() };
    assert_answers(vec![
        Expected(
            answers::rule_violation(&customer),
            403,
            NotRun,
            "unknown_customer",
            "Unknown customer 'a'. The request did not run.",
            None,
        ),
        Expected(
            answers::rule_violation(&service),
            404,
            NotRun,
            "unknown_service",
            "Unknown service 'a'. The request did not run.",
            None,
        ),
        Expected(
            answers::rule_violation(&tier),
            400,
            NotRun,
            "unknown_tier",
            "Unknown tier 'a'. The request did not run.",
            None,
        ),
        Expected(
            answers::rule_violation(&raised),
            400,
            NotRun,
            "tier_raised",
            "Tier 'a' is above tier 'b', which the rules give. The request did not run.",
            None,
        ),
        Expected(
            answers::rule_violation(&path),
            400,
            NotRun,
            "path_not_normal",
            "Path 'a/..' isn't in normal form. The request did not run.",
            None,
        ),
        Expected(
            answers::bad_request(400, "body_cut", "The body ended early."),
            400,
            NotRun,
            "body_cut",
            "The body ended early. The request did not run.",
            None,
        ),
        Expected(
            answers::missing_prompt(),
            400,
            NotRun,
            "missing_prompt",
            "A request to a model service needs a 'prompt' that is not empty. The request did \
             not run.",
            None,
        ),
    ]);
}
