//! Runs a request at a model engine: sends it once, then resumes the stream whenever it breaks, up
//! to a limit of attempts without a new token.

use std::time::{Duration, Instant};

use log::warn;
use serde::Deserialize;

use crate::answer_log::{AnswerEnd, AnswerTotals};
use crate::answers;
use crate::backend_call::{
    BackendRequest, CallFailure, EventStream, cancel_stream, resume_stream, start_stream,
};
use crate::effect::Dispatch;
use crate::metric::Counter;
use crate::runners::RunnerCommand;
use crate::scheduling::Progress;
use crate::serve_request::{RequestRunner, RunEnd};
use crate::server_sent_events::{ServerSentEvent, read_event};
use crate::span_record::Hop;

/// Wait after a failed attempt to resume, in milliseconds; it doubles with each attempt since the
/// last token, up to six times.
const RESUME_BACKOFF_MS: u64 = 100;

/// Shortest time between two reports of tokens to the coordinator, in milliseconds.
const TOKEN_REPORT_INTERVAL_MS: u64 = 500;

#[derive(Default, Deserialize)]
#[serde(default)]
struct EndData {
    cached_tokens: u32,
    output_tokens: Option<u32>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct TokenData {
    index: Option<usize>,
}

/// Next step after a read from the stream.
enum RunStep {
    End(RunEnd),
    Read,
    Resume,
}

/// State of a run at a model engine.
struct ModelRun<'a> {
    dispatch: &'a Dispatch,
    resume_attempts: u32,
    reported: Instant,
    reported_tokens: usize,
    runner: &'a mut RequestRunner,
    started: Instant,
    tokens: usize,
}

/// Runs the request of `runner` at a model engine.
pub fn run_model(runner: &mut RequestRunner, dispatch: &Dispatch) -> RunEnd {
    let started = Instant::now();
    runner.begin_answer(&dispatch.backend_server);
    let settings = runner.context.settings.clone();
    let traceparent = runner.trace.dispatch_header();
    let request = BackendRequest {
        body: &runner.request.body,
        key: runner.request.arrival.key.as_deref(),
        traceparent: Some(&traceparent),
    };
    let first = start_stream(runner.context.clock, dispatch, &request, &settings.dispatch);
    let stream = match first {
        Ok(stream) => Some(stream),
        Err(CallFailure::Expired) => return RunEnd::WaitAgain(Progress::Abandoned),
        Err(CallFailure::NotSent) => return RunEnd::WaitAgain(Progress::ConnectFailed),
        Err(CallFailure::Status(status)) => return failed_run(&format!("status {status}")),
        Err(CallFailure::Lost | CallFailure::Unknown) => None,
    };
    let mut run = ModelRun {
        dispatch,
        resume_attempts: 0,
        reported: started,
        reported_tokens: 0,
        runner,
        started,
        tokens: 0,
    };
    run.read_to_end(stream)
}

fn failed_run(detail: &str) -> RunEnd {
    let answer = answers::run_failed(detail);
    RunEnd::Ended(AnswerEnd::Final(answer), Progress::Cancelled)
}

fn lost_run(progress: Progress) -> RunEnd {
    RunEnd::Ended(AnswerEnd::Final(answers::stream_lost()), progress)
}

impl ModelRun<'_> {
    fn read_to_end(&mut self, mut stream: Option<EventStream>) -> RunEnd {
        loop {
            let next = match &mut stream {
                Some(open) => self.read(open),
                None => RunStep::Resume,
            };
            match next {
                RunStep::End(run_end) => return run_end,
                RunStep::Read => {}
                RunStep::Resume => match self.resume() {
                    Ok(resumed) => stream = resumed,
                    Err(run_end) => return run_end,
                },
            }
            if let Some(run_end) = self.check_cancelled() {
                return run_end;
            }
        }
    }

    fn check_cancelled(&self) -> Option<RunEnd> {
        let answer = match self.runner.commands.try_recv() {
            Ok(RunnerCommand::Answer(answer)) => answer,
            Ok(RunnerCommand::Cancel) => answers::cancelled(),
            _ if self.runner.is_abandoned() => answers::cancelled(),
            _ => return None,
        };
        cancel_stream(self.dispatch);
        Some(RunEnd::Ended(AnswerEnd::Final(answer), Progress::Cancelled))
    }

    /// Ends the run, or resumes the stream if its end event can't be read or counts more or fewer
    /// tokens.
    fn finish(&self, data: &str) -> RunStep {
        let Ok(end) = serde_json::from_str::<EndData>(data) else { return RunStep::Resume };
        let tokens = u32::try_from(self.tokens).unwrap_or(u32::MAX);
        let output_tokens = end.output_tokens.unwrap_or(tokens);
        if output_tokens != tokens {
            return RunStep::Resume;
        }
        let progress = Progress::Finished { cached_tokens: end.cached_tokens, output_tokens };
        let totals = AnswerTotals { digest: String::new(), events: self.tokens };
        RunStep::End(RunEnd::Ended(AnswerEnd::Done(totals), progress))
    }

    fn read(&mut self, stream: &mut EventStream) -> RunStep {
        match read_event(stream) {
            Ok(ServerSentEvent::Comment) => {
                self.runner.keep_alive();
                RunStep::Read
            }
            Ok(ServerSentEvent::Event { data, name }) => self.apply_event(&name, data),
            Ok(ServerSentEvent::EndOfStream) | Err(_) => RunStep::Resume,
        }
    }

    fn report_tokens(&mut self) {
        let elapsed = self.reported.elapsed();
        if elapsed < Duration::from_millis(TOKEN_REPORT_INTERVAL_MS) {
            return;
        }
        let new_tokens = u64::try_from(self.tokens - self.reported_tokens).unwrap_or(1).max(1);
        let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        self.runner.report(Progress::Tokens {
            between_tokens_ms: elapsed_ms / new_tokens,
            output_tokens: u32::try_from(self.tokens).unwrap_or(u32::MAX),
        });
        self.reported = Instant::now();
        self.reported_tokens = self.tokens;
    }

    fn resume(&mut self) -> Result<Option<EventStream>, RunEnd> {
        let settings = self.runner.context.settings.clone();
        if self.resume_attempts >= settings.dispatch.resume_limit {
            return Err(lost_run(Progress::Lost));
        }
        let backoff_ms = RESUME_BACKOFF_MS << self.resume_attempts.min(6);
        self.resume_attempts += 1;
        match resume_stream(self.dispatch, self.tokens, &settings.dispatch) {
            Ok(stream) => Ok(Some(stream)),
            Err(CallFailure::Unknown) if self.resume_attempts >= 2 => {
                Err(lost_run(Progress::Crashed))
            }
            Err(CallFailure::Status(status)) => Err(failed_run(&format!("status {status}"))),
            Err(_) => {
                std::thread::sleep(Duration::from_millis(backoff_ms));
                Ok(None)
            }
        }
    }

    fn apply_event(&mut self, name: &str, data: String) -> RunStep {
        match name {
            "end" => self.finish(&data),
            "error" => RunStep::End(failed_run(&data)),
            "token" => self.apply_token(data),
            _ => RunStep::Read,
        }
    }

    /// Emits a token if it is the next one, skips a duplicate, and resumes the stream at a gap or a
    /// token that can't be read.
    fn apply_token(&mut self, data: String) -> RunStep {
        let Ok(token) = serde_json::from_str::<TokenData>(&data) else { return RunStep::Resume };
        let index = token.index.unwrap_or(self.tokens);
        if index > self.tokens {
            return RunStep::Resume;
        }
        if index < self.tokens {
            return RunStep::Read;
        }
        match self.check_room(&data) {
            Some(fault) => self.give_up(&fault),
            None => {
                self.emit_token(data);
                RunStep::Read
            }
        }
    }

    /// Returns why a further token can't be taken, if it can't.
    fn check_room(&mut self, data: &str) -> Option<String> {
        let most = self.runner.request.arrival.max_output_tokens as usize;
        if most > 0 && self.tokens >= most {
            return Some(format!("it sent more than {most} tokens"));
        }
        self.runner.reserve_event(data).err().map(|full| full.to_string())
    }

    fn give_up(&self, fault: &str) -> RunStep {
        cancel_stream(self.dispatch);
        self.runner.context.telemetry.count(Counter::EndlessAnswers, 1);
        warn!(
            target: "run",
            backend_server = &*self.dispatch.backend_server,
            request = &*self.dispatch.request,
            tokens = self.tokens,
            fault;
            "An answer was given up."
        );
        RunStep::End(failed_run(fault))
    }

    fn emit_token(&mut self, data: String) {
        self.resume_attempts = 0;
        self.tokens += 1;
        if self.tokens == 1 {
            let elapsed = self.started.elapsed().as_millis();
            let elapsed_ms = u64::try_from(elapsed).unwrap_or(u64::MAX);
            self.runner.report(Progress::FirstToken { elapsed_ms });
            let ended_ms = self.runner.context.clock.monotonic_ms();
            let started_ms = ended_ms.saturating_sub(elapsed_ms);
            self.runner.trace.record(&self.runner.context, Hop::FirstToken, started_ms, ended_ms);
            self.reported = Instant::now();
            self.reported_tokens = 1;
        }
        self.runner.emit(data.into());
        self.report_tokens();
    }
}
