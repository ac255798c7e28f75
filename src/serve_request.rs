//! Serves one request on a thread of its own: waits for commands of the decision core, sends the
//! request to a backend server and streams the answer to the caller.

use std::sync::Arc;
use std::time::Duration;

use crate::answer_log::{AnswerEnd, AnswerLog};
use crate::answer_writer::AnswerWriter;
use crate::answers;
use crate::effect::Dispatch;
use crate::event::Event;
use crate::final_answer::FinalAnswer;
use crate::gateway::answer_budget::{BudgetShare, BufferFull};
use crate::join_answer::{JoinTarget, RecordingWriter, join_local, join_peer};
use crate::name::Name;
use crate::read_request::ReadRequest;
use crate::request_trace::RequestTrace;
use crate::run_model::run_model;
use crate::run_plain::run_plain;
use crate::runners::RunnerCommand;
use crate::scheduling::Progress;
use crate::serving_context::ServingContext;
use crate::span_record::Hop;

/// Time between two keep-alives to a waiting caller, in milliseconds.
const KEEP_ALIVE_INTERVAL_MS: u64 = 1_000;

/// Memory that an event takes besides its data, in bytes.
const EVENT_OVERHEAD_BYTES: usize = 64;

/// Serves one request.
pub struct RequestRunner {
    answer_bytes: usize,
    answer_share: BudgetShare,
    /// Commands of the decision core.
    pub commands: flume::Receiver<RunnerCommand>,
    /// The request.
    pub request: ReadRequest,
    /// Context shared by all such threads.
    pub context: Arc<ServingContext>,
    caller_gone: bool,
    cancelled: bool,
    log: Arc<AnswerLog>,
    ran: bool,
    /// The trace that the request belongs to.
    pub trace: RequestTrace,
    writer: Box<dyn AnswerWriter>,
}

/// Next step after a command.
enum ServeStep {
    /// The request has its final answer.
    Ended,
    /// Wait for a further command.
    Wait,
}

/// Outcome of the run at a backend server.
pub enum RunEnd {
    /// The request ended.
    Ended(AnswerEnd, Progress),
    /// Nothing was sent; the request waits for another backend server.
    WaitAgain(Progress),
}

impl RequestRunner {
    /// Prepares to serve a request.
    pub fn new(
        context: Arc<ServingContext>,
        request: ReadRequest,
        writer: Box<dyn AnswerWriter>,
    ) -> Self {
        let sequence = request.arrival.sequence;
        let commands = context.runners.add(sequence);
        let log = context.answer_logs.open(sequence);
        let trace = RequestTrace::start(&context, request.traceparent.as_deref());
        Self {
            answer_bytes: 0,
            answer_share: context.answer_budget.share(),
            caller_gone: false,
            cancelled: false,
            commands,
            log,
            ran: false,
            request,
            trace,
            context,
            writer,
        }
    }

    /// Takes memory for a further event of the answer.
    ///
    /// # Errors
    ///
    /// Returns [`BufferFull`] if the answer is too long, or other answers have used up the memory.
    pub fn reserve_event(&mut self, data: &str) -> Result<(), BufferFull> {
        let limit_bytes = self.context.settings.caller.answer_limit_bytes;
        self.answer_bytes += data.len() + EVENT_OVERHEAD_BYTES;
        if self.answer_bytes > limit_bytes {
            return Err(BufferFull::TooLong(limit_bytes));
        }
        match self.answer_share.resize(self.answer_bytes) {
            true => Ok(()),
            false => Err(BufferFull::BudgetUsedUp),
        }
    }

    /// Takes a share of the memory for answers, as one of a backend server's answers.
    pub fn begin_answer(&mut self, backend_server: &Name) {
        self.answer_share = self.context.answer_budget.share_of(backend_server);
        self.answer_bytes = 0;
    }

    /// Adds an event to the answer, and writes it to the caller unless the caller disconnected.
    pub fn emit(&mut self, data: Arc<str>) {
        self.log.push(data.clone());
        if self.caller_gone {
            return;
        }
        if self.writer.events(&[data]).is_err() {
            self.record_caller_gone();
        }
    }

    /// Returns whether the caller disconnected and, without a key, can't join the answer later.
    pub fn is_abandoned(&self) -> bool {
        self.caller_gone && self.request.arrival.key.is_none()
    }

    /// Sends a keep-alive to the caller.
    pub fn keep_alive(&mut self) {
        if !self.caller_gone && self.writer.keep_alive().is_err() {
            self.record_caller_gone();
        }
    }

    /// Reports progress of the dispatched request to the core.
    pub fn report(&self, progress: Progress) {
        let sequence = self.request.arrival.sequence;
        self.context.send_event(Event::Dispatch { progress, sequence });
    }

    /// Serves the request to its end.
    pub fn serve(mut self) {
        let sequence = self.request.arrival.sequence;
        self.context.send_event(Event::Arrived(Box::new(self.request.arrival.clone())));
        let interval = Duration::from_millis(KEEP_ALIVE_INTERVAL_MS);
        loop {
            let next = match self.commands.recv_timeout(interval) {
                Ok(command) => self.apply_command(command),
                Err(flume::RecvTimeoutError::Timeout) => {
                    self.keep_alive();
                    ServeStep::Wait
                }
                Err(flume::RecvTimeoutError::Disconnected) => ServeStep::Ended,
            };
            match next {
                ServeStep::Ended => break,
                ServeStep::Wait => {}
            }
        }
        self.trace.end(&self.context);
        self.context.runners.remove(sequence);
        match self.ran {
            true => self.context.answer_logs.settle(sequence),
            // Open joins keep their own reference, and no later join looks for this answer here.
            false => self.context.answer_logs.remove(sequence),
        }
    }

    fn write_end(&mut self, end: &AnswerEnd) {
        if !self.caller_gone && self.writer.end(end).is_err() {
            self.caller_gone = true;
        }
    }

    fn end_with_answer(&mut self, answer: FinalAnswer) -> ServeStep {
        self.log.finish_with(answer.clone());
        self.write_end(&AnswerEnd::Final(answer));
        ServeStep::Ended
    }

    /// Ends the recorded answer of a join if it is incomplete, since its own caller may have
    /// disconnected early while other requests read it.
    fn end_join(&mut self) -> ServeStep {
        self.log.finish_with(answers::holder_unreachable());
        ServeStep::Ended
    }

    /// Records that the caller disconnected. Without a key it can't join the answer later, so the
    /// request is cancelled.
    fn record_caller_gone(&mut self) {
        self.caller_gone = true;
        if self.request.arrival.key.is_none() {
            let sequence = self.request.arrival.sequence;
            self.context.send_event(Event::CallerGone { sequence });
        }
    }

    fn apply_command(&mut self, command: RunnerCommand) -> ServeStep {
        match command {
            RunnerCommand::Answer(answer) => self.end_with_answer(answer),
            RunnerCommand::Cancel => {
                self.cancelled = true;
                ServeStep::Wait
            }
            RunnerCommand::Cancelling => ServeStep::Wait,
            RunnerCommand::Dispatch(_) if self.cancelled => {
                self.report(Progress::Cancelled);
                self.end_with_answer(answers::cancelled_before_run())
            }
            RunnerCommand::Dispatch(dispatch) => self.run(&dispatch),
            RunnerCommand::Hop { ended_ms, hop, started_ms } => {
                self.trace.record(&self.context, hop, started_ms, ended_ms);
                ServeStep::Wait
            }
            RunnerCommand::JoinLocal { holder } => {
                let Some(held) = self.context.answer_logs.find(holder) else {
                    return self.end_with_answer(answers::answer_not_kept());
                };
                let mut writer = RecordingWriter { log: &self.log, writer: self.writer.as_mut() };
                join_local(&held, 0, &mut writer);
                self.end_join()
            }
            RunnerCommand::JoinPeer { address, holder, key } => {
                let target = JoinTarget { address, holder: &holder, key: &key };
                let mut writer = RecordingWriter { log: &self.log, writer: self.writer.as_mut() };
                join_peer(&target, 0, &self.context.settings.dispatch, &mut writer);
                self.end_join()
            }
        }
    }

    fn run(&mut self, dispatch: &Dispatch) -> ServeStep {
        let started_ms = self.context.clock.monotonic_ms();
        self.trace.record(&self.context, Hop::Grant, dispatch.granted_ms, started_ms);
        let run_end = match dispatch.model {
            true => run_model(self, dispatch),
            false => run_plain(self, dispatch),
        };
        self.trace.end_dispatch(&self.context, started_ms);
        self.ran = matches!(run_end, RunEnd::Ended(..));
        match run_end {
            RunEnd::Ended(AnswerEnd::Done(_), progress) => {
                let totals = self.log.finish();
                self.report(progress);
                self.write_end(&AnswerEnd::Done(totals));
                ServeStep::Ended
            }
            RunEnd::Ended(AnswerEnd::Final(answer), progress) => {
                self.report(progress);
                self.end_with_answer(answer)
            }
            RunEnd::WaitAgain(progress) => {
                self.report(progress);
                ServeStep::Wait
            }
        }
    }
}
