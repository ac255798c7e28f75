//! Runs a request at a plain service: sends it once and never repeats it.

use crate::answer_log::{AnswerEnd, AnswerTotals};
use crate::answers;
use crate::backend_call::{BackendRequest, CallFailure, call_plain, is_listening};
use crate::effect::Dispatch;
use crate::scheduling::Progress;
use crate::serve_request::{RequestRunner, RunEnd};

/// Runs the request of `runner` at a plain service.
pub fn run_plain(runner: &mut RequestRunner, dispatch: &Dispatch) -> RunEnd {
    let settings = runner.context.settings.clone();
    let traceparent = runner.trace.dispatch_header();
    let request = BackendRequest {
        body: &runner.request.body,
        key: runner.request.arrival.key.as_deref(),
        traceparent: Some(&traceparent),
    };
    match call_plain(runner.context.clock, dispatch, &request, &settings.dispatch) {
        Ok(answer) => {
            runner.emit(answer.into());
            let totals = AnswerTotals { digest: String::new(), events: 1 };
            let progress = Progress::Finished { cached_tokens: 0, output_tokens: 0 };
            RunEnd::Ended(AnswerEnd::Done(totals), progress)
        }
        Err(CallFailure::Expired) => RunEnd::WaitAgain(Progress::Abandoned),
        Err(CallFailure::NotSent) => RunEnd::WaitAgain(Progress::ConnectFailed),
        Err(CallFailure::Status(status)) => {
            let answer = answers::run_failed(&format!("status {status}"));
            RunEnd::Ended(AnswerEnd::Final(answer), Progress::Cancelled)
        }
        Err(CallFailure::Lost | CallFailure::Unknown) => {
            let progress = match is_listening(dispatch.address, &settings.dispatch) {
                true => Progress::Lost,
                false => Progress::Crashed,
            };
            RunEnd::Ended(AnswerEnd::Final(answers::stream_lost()), progress)
        }
    }
}
