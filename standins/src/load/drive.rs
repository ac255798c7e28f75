//! Sends the requests of a load plan at their times and collects the results.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use super::direct;
use super::mix::RequestClass;
use super::plan::{Arrival, LoadPlan};
use super::report::{LoadReport, Prompt, RequestOutcome, RequestResult, SharedPrefix};
use crate::caller::{Answer, Call, CallError, Outcome};

/// Stack size of the thread of a request.
const STACK_BYTES: usize = 256 * 1024;

/// Time after the deadline at which the caller times out, in milliseconds.
const TIMEOUT_MARGIN_MS: u64 = 30_000;

/// Addresses that a load is sent to.
#[derive(Clone, Debug)]
pub enum Target {
    /// Engines, without bergamotspan.
    Direct(Vec<SocketAddr>),
    /// Instances of bergamotspan.
    Instances(Vec<SocketAddr>),
}

impl Target {
    fn addresses(&self) -> &[SocketAddr] {
        match self {
            Self::Direct(addresses) | Self::Instances(addresses) => addresses,
        }
    }
}

/// Sends the requests of a plan to the addresses of the target in turn and waits for all answers.
///
/// # Panics
///
/// Panics if the target has no address or no thread can be started.
pub fn drive(plan: &LoadPlan, target: &Target) -> LoadReport {
    let (sender, receiver) = flume::unbounded();
    let target = Arc::new(target.clone());
    let start = Instant::now();
    for (number, arrival) in plan.arrivals.iter().enumerate() {
        thread::sleep((start + arrival.at).saturating_duration_since(Instant::now()));
        let (class, arrival) = (plan.mix.classes[arrival.class].clone(), arrival.clone());
        let (sender, target) = (sender.clone(), Arc::clone(&target));
        let work = move || {
            let answer = send_with_failover(&target, number, &class, &arrival);
            // The receiver lives until all senders are dropped.
            let _ = sender.send(request_result(&class, &arrival, answer));
        };
        let thread = thread::Builder::new().stack_size(STACK_BYTES);
        thread.spawn(work).expect("a thread can be started");
    }
    drop(sender);
    LoadReport::new(receiver.iter().collect())
}

/// Sends a request to the next address that accepts the connection, as a load balancer does.
fn send_with_failover(
    target: &Target,
    number: usize,
    class: &RequestClass,
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
    class: &RequestClass,
    arrival: &Arrival,
) -> Result<Answer, CallError> {
    let body = json!({
        "prompt": arrival.prompt,
        "max_output_tokens": arrival.output_tokens,
        "output_tokens": arrival.output_tokens,
    });
    let timeout_ms = class.deadline_ms + TIMEOUT_MARGIN_MS;
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

fn request_result(
    class: &RequestClass,
    arrival: &Arrival,
    answer: Result<Answer, CallError>,
) -> RequestResult {
    let ttft_ms = answer.as_ref().ok().and_then(|answer| answer.ttft_ms);
    let outcome = answer.map_or(RequestOutcome::Broken, |answer| outcome(class, arrival, &answer));
    RequestResult { outcome, prompt: prompt(class, arrival), tier: class.tier.clone(), ttft_ms }
}

fn prompt(class: &RequestClass, arrival: &Arrival) -> Option<Prompt> {
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

fn outcome(class: &RequestClass, arrival: &Arrival, answer: &Answer) -> RequestOutcome {
    match answer.outcome {
        None => RequestOutcome::Broken,
        Some(Outcome::Failed) => RequestOutcome::Failed,
        Some(Outcome::NotRun) => RequestOutcome::NotRun,
        Some(Outcome::Unknown) => RequestOutcome::Unknown,
        Some(Outcome::Done) if !is_correct(arrival, answer) => RequestOutcome::Wrong,
        Some(Outcome::Done) if is_in_time(class, answer) => RequestOutcome::Done,
        Some(Outcome::Done) => RequestOutcome::Late,
    }
}

/// Returns whether an answer is correct. A stream is checked token by token, a single body only for
/// completeness.
fn is_correct(arrival: &Arrival, answer: &Answer) -> bool {
    if answer.body.is_some() {
        return answer.whole;
    }
    answer.tokens.len() as u64 == arrival.output_tokens && answer.matches(&arrival.prompt)
}

fn is_in_time(class: &RequestClass, answer: &Answer) -> bool {
    let first = class.first_token_ms.zip(answer.ttft_ms);
    answer.total_ms <= class.deadline_ms && first.is_none_or(|(limit, ttft)| ttft <= limit)
}
