//! Serves one request on a thread of its own: waits for the core, sends, streams the answer.

use std::sync::Arc;
use std::time::Duration;

use crate::answer_log::{AnswerEnd, AnswerLog};
use crate::answer_writer::AnswerWriter;
use crate::answers;
use crate::effect::Dispatch;
use crate::event::Event;
use crate::final_answer::FinalAnswer;
use crate::join_answer::{JoinTarget, join_local, join_peer};
use crate::read_request::ReadRequest;
use crate::run_model::run_model;
use crate::run_plain::run_plain;
use crate::runners::RunnerCommand;
use crate::scheduling::Progress;
use crate::traffic::Traffic;

/// Time between two signs of life to a waiting caller, in milliseconds.
const KEEP_ALIVE_INTERVAL_MS: u64 = 1_000;

/// One request on its thread.
pub struct RequestRunner {
    /// Commands of the decision core.
    pub commands: flume::Receiver<RunnerCommand>,
    /// The request.
    pub request: ReadRequest,
    /// What all such threads share.
    pub traffic: Arc<Traffic>,
    caller_gone: bool,
    log: Arc<AnswerLog>,
    writer: Box<dyn AnswerWriter>,
}

/// What to do after a command.
enum Next {
    /// The request has its final answer.
    Ended,
    /// Wait for a further command.
    Wait,
}

/// How the run at a backend server ended.
pub enum RunEnd {
    /// The request ended.
    Ended(AnswerEnd, Progress),
    /// Nothing was sent; the request waits for another backend server.
    WaitAgain(Progress),
}

impl RequestRunner {
    /// Prepares to serve a request.
    pub fn new(traffic: Arc<Traffic>, request: ReadRequest, writer: Box<dyn AnswerWriter>) -> Self {
        let sequence = request.arrival.sequence;
        let commands = traffic.runners.add(sequence);
        let log = traffic.answer_logs.open(sequence);
        Self { caller_gone: false, commands, log, request, traffic, writer }
    }

    /// Adds token events to the answer.
    pub fn emit(&mut self, data: Arc<str>) {
        self.log.push(data.clone());
        if self.caller_gone {
            return;
        }
        if self.writer.events(&[data]).is_err() {
            self.lose_caller();
        }
    }

    /// Returns whether nobody can get the answer any more.
    pub fn is_abandoned(&self) -> bool {
        self.caller_gone && self.request.arrival.key.is_none()
    }

    /// Shows the caller that the instance lives.
    pub fn keep_alive(&mut self) {
        if !self.caller_gone && self.writer.keep_alive().is_err() {
            self.lose_caller();
        }
    }

    /// Tells the core how the dispatched request goes.
    pub fn report(&self, progress: Progress) {
        let sequence = self.request.arrival.sequence;
        self.traffic.tell(Event::Dispatch { progress, sequence });
    }

    /// Serves the request to its end.
    pub fn serve(mut self) {
        let sequence = self.request.arrival.sequence;
        self.traffic.tell(Event::Arrived(Box::new(self.request.arrival.clone())));
        let interval = Duration::from_millis(KEEP_ALIVE_INTERVAL_MS);
        loop {
            let next = match self.commands.recv_timeout(interval) {
                Ok(command) => self.obey(command),
                Err(flume::RecvTimeoutError::Timeout) => {
                    self.keep_alive();
                    Next::Wait
                }
                Err(flume::RecvTimeoutError::Disconnected) => Next::Ended,
            };
            match next {
                Next::Ended => break,
                Next::Wait => {}
            }
        }
        self.traffic.runners.remove(sequence);
        self.traffic.answer_logs.settle(sequence);
    }

    /// The run to be cancelled ended without being sent, so the request may be granted again.
    fn cancel_again(&self) -> Next {
        let sequence = self.request.arrival.sequence;
        self.traffic.tell(Event::CallerGone { sequence });
        Next::Wait
    }

    fn end(&mut self, end: &AnswerEnd) {
        if !self.caller_gone && self.writer.end(end).is_err() {
            self.caller_gone = true;
        }
    }

    fn end_with(&mut self, answer: FinalAnswer) -> Next {
        self.log.finish_with(answer.clone());
        self.end(&AnswerEnd::Final(answer));
        Next::Ended
    }

    /// A caller without a key can't come back for the answer, so its request is cancelled.
    fn lose_caller(&mut self) {
        self.caller_gone = true;
        if self.request.arrival.key.is_none() {
            let sequence = self.request.arrival.sequence;
            self.traffic.tell(Event::CallerGone { sequence });
        }
    }

    fn obey(&mut self, command: RunnerCommand) -> Next {
        match command {
            RunnerCommand::Answer(answer) => self.end_with(answer),
            RunnerCommand::Cancel => self.cancel_again(),
            RunnerCommand::Cancelling => Next::Wait,
            RunnerCommand::Dispatch(dispatch) => self.run(&dispatch),
            RunnerCommand::JoinLocal { holder } => {
                match self.traffic.answer_logs.find(holder) {
                    Some(log) => join_local(&log, 0, self.writer.as_mut()),
                    None => self.end(&AnswerEnd::Final(answers::answer_not_kept())),
                }
                Next::Ended
            }
            RunnerCommand::JoinPeer { address, holder, key } => {
                let target = JoinTarget { address, holder: &holder, key: &key };
                let settings = &self.traffic.settings.dispatch;
                join_peer(&target, 0, settings, self.writer.as_mut());
                Next::Ended
            }
        }
    }

    fn run(&mut self, dispatch: &Dispatch) -> Next {
        let run_end = match dispatch.model {
            true => run_model(self, dispatch),
            false => run_plain(self, dispatch),
        };
        match run_end {
            RunEnd::Ended(AnswerEnd::Done(_), progress) => {
                let totals = self.log.finish();
                self.report(progress);
                self.end(&AnswerEnd::Done(totals));
                Next::Ended
            }
            RunEnd::Ended(AnswerEnd::Final(answer), progress) => {
                self.report(progress);
                self.end_with(answer)
            }
            RunEnd::WaitAgain(progress) => {
                self.report(progress);
                Next::Wait
            }
        }
    }
}
