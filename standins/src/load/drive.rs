//! Sends the requests of a plan at their times.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use super::direct;
use super::mix::Class;
use super::plan::{Arrival, Plan};
use super::report::{Ending, LoadReport, Prompt, Sample, SharedPrefix};
use crate::caller::{Answer, Call, CallError, Outcome};

/// Stack of the thread of one request.
const STACK_BYTES: usize = 256 * 1024;

/// Time beyond the deadline after which a caller gives up, in milliseconds.
const PATIENCE_MS: u64 = 30_000;

/// Where a load goes.
#[derive(Clone, Debug)]
pub enum Target {
    /// To engines, without bergamotspan.
    Direct(Vec<SocketAddr>),
    /// To instances of bergamotspan.
    Instances(Vec<SocketAddr>),
}

impl Target {
    fn addresses(&self) -> &[SocketAddr] {
        match self {
            Self::Direct(addresses) | Self::Instances(addresses) => addresses,
        }
    }
}

/// Sends a plan's requests in turn to the target's addresses and waits for all answers.
///
/// # Panics
///
/// Panics if the target has no address or no thread can be started.
pub fn drive(plan: &Plan, target: &Target) -> LoadReport {
    let (sender, receiver) = flume::unbounded();
    let target = Arc::new(target.clone());
    let start = Instant::now();
    for (number, arrival) in plan.arrivals.iter().enumerate() {
        thread::sleep((start + arrival.at).saturating_duration_since(Instant::now()));
        let (class, arrival) = (plan.mix.classes[arrival.class].clone(), arrival.clone());
        let (sender, target) = (sender.clone(), Arc::clone(&target));
        let work = move || {
            let answer = send_in_turn(&target, number, &class, &arrival);
            // The receiver lives until all senders are gone.
            let _ = sender.send(sample(&class, &arrival, answer));
        };
        let thread = thread::Builder::new().stack_size(STACK_BYTES);
        thread.spawn(work).expect("a thread can be started");
    }
    drop(sender);
    LoadReport::new(receiver.iter().collect())
}

/// Sends a request to the next address that takes the connection, as a balancer does.
fn send_in_turn(
    target: &Target,
    number: usize,
    class: &Class,
    arrival: &Arrival,
) -> Result<Answer, CallError> {
    let addresses = target.addresses();
    let mut answer = send(target, addresses[number % addresses.len()], class, arrival);
    for step in 1..addresses.len() {
        if !answer.as_ref().is_err_and(CallError::is_refused) {
            break;
        }
        answer = send(target, addresses[(number + step) % addresses.len()], class, arrival);
    }
    answer
}

fn send(
    target: &Target,
    address: SocketAddr,
    class: &Class,
    arrival: &Arrival,
) -> Result<Answer, CallError> {
    let body = json!({
        "prompt": arrival.prompt,
        "max_output_tokens": arrival.output_tokens,
        "output_tokens": arrival.output_tokens,
    });
    let timeout_ms = class.deadline_ms + PATIENCE_MS;
    if let Target::Direct(_) = target {
        return direct::send(address, &body, Duration::from_millis(timeout_ms));
    }
    let mut call = Call::new(address, &class.service, body)
        .customer(&class.customer)
        .deadline_ms(class.deadline_ms)
        .tier(&class.tier)
        .timeout_ms(timeout_ms);
    if !class.path.is_empty() {
        call = call.path(&class.path);
    }
    if class.keyed {
        call = call.key(&uuid::Uuid::now_v7().to_string());
    }
    if class.plain {
        call = call.json();
    }
    call.send()
}

fn sample(class: &Class, arrival: &Arrival, answer: Result<Answer, CallError>) -> Sample {
    let ttft_ms = answer.as_ref().ok().and_then(|answer| answer.ttft_ms);
    let ending = answer.map_or(Ending::Broken, |answer| ending(class, arrival, &answer));
    Sample { ending, prompt: prompt(class, arrival), tier: class.tier.clone(), ttft_ms }
}

fn prompt(class: &Class, arrival: &Arrival) -> Option<Prompt> {
    (!class.plain).then(|| Prompt {
        own_tokens: arrival.own_prompt_tokens,
        prefix: arrival.prefix.map(|prefix| SharedPrefix {
            customer: class.customer.clone(),
            number: prefix,
            service: class.service.clone(),
            tokens: class.prefix_tokens,
        }),
    })
}

fn ending(class: &Class, arrival: &Arrival, answer: &Answer) -> Ending {
    match answer.outcome {
        None => Ending::Broken,
        Some(Outcome::Failed) => Ending::Failed,
        Some(Outcome::NotRun) => Ending::NotRun,
        Some(Outcome::Unknown) => Ending::Unknown,
        Some(Outcome::Done) if !is_right(arrival, answer) => Ending::Wrong,
        Some(Outcome::Done) if is_in_time(class, answer) => Ending::Done,
        Some(Outcome::Done) => Ending::Late,
    }
}

/// A stream is checked token by token; a single body only for being whole.
fn is_right(arrival: &Arrival, answer: &Answer) -> bool {
    if answer.body.is_some() {
        return answer.whole;
    }
    answer.tokens.len() as u64 == arrival.output_tokens && answer.matches(&arrival.prompt)
}

fn is_in_time(class: &Class, answer: &Answer) -> bool {
    let first = class.first_token_ms.zip(answer.ttft_ms);
    answer.total_ms <= class.deadline_ms && first.is_none_or(|(limit, ttft)| ttft <= limit)
}
