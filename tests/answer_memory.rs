//! Tests of which answers are kept after their requests ended.
//!
//! Joins need only the answers of requests that ran here; any other would stay in memory unused.

use std::io;
use std::sync::Arc;
use std::thread;

use bergamotspan::answer_log::AnswerEnd;
use bergamotspan::answer_writer::AnswerWriter;
use bergamotspan::answers;
use bergamotspan::clock::Clock;
use bergamotspan::control::ControlInput;
use bergamotspan::event::Arrival;
use bergamotspan::parse_settings::parse_settings;
use bergamotspan::read_request::ReadRequest;
use bergamotspan::runners::RunnerCommand;
use bergamotspan::serve_request::RequestRunner;
use bergamotspan::serving_context::ServingContext;
use bergamotspan::telemetry::NoTelemetry;

const HOLDER: u64 = 1;
const SEQUENCE: u64 = 2;
const SETTINGS: &str = include_str!("../examples/entry-1-settings.ini");

/// A caller that ignores its answer.
struct Caller;

impl AnswerWriter for Caller {
    fn end(&mut self, _end: &AnswerEnd) -> io::Result<()> {
        Ok(())
    }

    fn events(&mut self, _events: &[Arc<str>]) -> io::Result<()> {
        Ok(())
    }

    fn keep_alive(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the state of the request threads, and the inputs of a control thread that decides
/// nothing.
fn arrange() -> (Arc<ServingContext>, flume::Receiver<ControlInput>) {
    let settings = Arc::new(parse_settings("settings", SETTINGS).unwrap());
    let (control, inputs) = flume::unbounded();
    let context = ServingContext::new(Clock::start(), control, 1, settings, Arc::new(NoTelemetry));
    (Arc::new(context), inputs)
}

fn serve_with(context: &Arc<ServingContext>, command: RunnerCommand) {
    let arrival = Arrival { sequence: SEQUENCE, ..Arrival::default() };
    let request = ReadRequest { arrival, ..ReadRequest::default() };
    let runner = RequestRunner::new(context.clone(), request, Box::new(Caller));
    context.runners.send_command(SEQUENCE, command);
    thread::spawn(move || runner.serve()).join().unwrap();
}

#[test]
fn the_answer_of_a_refused_request_is_removed() {
    let (context, _inputs) = arrange();

    serve_with(&context, RunnerCommand::Answer(answers::missing_key()));

    assert!(context.answer_logs.find(SEQUENCE).is_none());
}

#[test]
fn the_copy_of_a_joined_answer_is_removed() {
    let (context, _inputs) = arrange();
    let held = context.answer_logs.open(HOLDER);
    held.push("{}".into());
    held.finish();

    serve_with(&context, RunnerCommand::JoinLocal { holder: HOLDER });

    assert!(context.answer_logs.find(SEQUENCE).is_none());
    assert!(context.answer_logs.find(HOLDER).is_some());
}
