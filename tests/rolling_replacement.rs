//! Tests of planned stops, up to the replacement of every instance while requests run.

mod seven;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use seven::{CUSTOMER, NAMES, draft_call, elapsed_ms, status, version_at};
use standins::caller::{Answer, Call, CallError, Outcome};
use standins::fleet::{Fleet, ServiceSpec, wait_until};
use uuid::Uuid;

/// Callers that each send one request after the other.
const CALLERS: usize = 6;
/// Time for which the balancer still sends to an instance that is not ready, in milliseconds.
const BALANCER_LAG_MS: u64 = 150;
/// Shortest time for which a stopping instance still answers, in milliseconds.
const NOTICE_MS: u64 = 500;
/// Clock margin of the fleet, in milliseconds: a home grants only keys that were minted more than
/// twice this long after it became eligible.
const CLOCK_MARGIN_MS: u64 = 50;
/// Longest time for one step, in milliseconds.
const STEP_LIMIT_MS: u64 = 15_000;
/// Sends after which a caller gives up on a request.
const SENDS_LIMIT: u32 = 40;
/// Tokens of an answer.
const OUTPUT_TOKENS: u32 = 120;
/// Tokens of an answer that takes longer than [`LAST_WRITES_MS`].
const LONG_TOKENS: u32 = 1_000;
/// Time for the last answers to reach their callers at the end of a stop, in milliseconds.
const LAST_WRITES_MS: u64 = 2_000;
/// Time per token in microseconds.
const DECODE_US_PER_TOKEN: &str = "1000";

/// State that the callers share: the balancer's list and their results.
#[derive(Default)]
struct Shared {
    addresses: Mutex<Vec<SocketAddr>>,
    broken: Mutex<Vec<String>>,
    done: AtomicUsize,
    ended: AtomicBool,
    next: AtomicUsize,
    refused_connections: AtomicUsize,
    resent: AtomicUsize,
}

/// Next step of a caller after one send.
enum NextStep {
    Done,
    /// Waits, then sends to another instance.
    Resend {
        wait_ms: u64,
    },
    Broken(String),
}

impl Shared {
    fn address(&self) -> SocketAddr {
        let addresses = self.addresses.lock().unwrap();
        addresses[self.next.fetch_add(1, Ordering::Relaxed) % addresses.len()]
    }

    /// Sets the balancer's list to the instances that are ready.
    fn set_addresses(&self, fleet: &Fleet) {
        let ready = fleet.caller_addresses().into_iter();
        *self.addresses.lock().unwrap() =
            ready.filter(|address| status(*address)["ready"] == true).collect();
    }

    fn next_step(&self, answer: Result<Answer, CallError>) -> NextStep {
        let answer = match answer {
            // No connection was made, so nothing was sent.
            Err(error) if error.to_string().contains("refused") => {
                self.refused_connections.fetch_add(1, Ordering::Relaxed);
                return NextStep::Resend { wait_ms: 10 };
            }
            Err(error) => return NextStep::Broken(error.to_string()),
            Ok(answer) => answer,
        };
        match (answer.outcome, answer.retry_after_ms) {
            (Some(Outcome::Done), _) if answer.whole => NextStep::Done,
            (Some(Outcome::NotRun), Some(wait_ms)) => NextStep::Resend { wait_ms },
            _ => NextStep::Broken(format!("{answer:?}")),
        }
    }

    fn print(&self, time_ms: u64) {
        println!(
            "{} done, {} sent again, {} connections refused, in {time_ms} ms",
            self.done.load(Ordering::Relaxed),
            self.resent.load(Ordering::Relaxed),
            self.refused_connections.load(Ordering::Relaxed),
        );
    }

    fn send(&self, call: &Call) {
        for _ in 0..SENDS_LIMIT {
            match self.next_step(call.clone().address(self.address()).send()) {
                NextStep::Done => {
                    self.done.fetch_add(1, Ordering::Relaxed);
                    return;
                }
                NextStep::Resend { wait_ms } => {
                    self.resent.fetch_add(1, Ordering::Relaxed);
                    thread::sleep(Duration::from_millis(wait_ms));
                }
                NextStep::Broken(answer) => return self.broken.lock().unwrap().push(answer),
            }
        }
        self.broken.lock().unwrap().push("a request was refused in every send".to_owned());
    }
}

fn arrange() -> Fleet {
    let model = ServiceSpec::model("plan-model", "plan-13b", 3)
        .options(&["--decode-us-per-token", DECODE_US_PER_TOKEN]);
    let plain = ServiceSpec::plain("order-desk", 1).idempotent(false);
    let sized =
        |service: ServiceSpec| service.token_limit_tokens(65_536).prefill_tokens_per_s(20_000);
    Fleet::builder()
        .instances(NAMES.len())
        .service(sized(model))
        .service(sized(plain))
        .setting("shutdown", "notice_ms", NOTICE_MS)
        .setting("peer", "heartbeat_interval_ms", 100)
        .setting("peer", "confirmation_window_ms", 600)
        .setting("keys", "clock_margin_ms", CLOCK_MARGIN_MS)
        .start()
        .unwrap()
}

fn start_callers(
    shared: &Arc<Shared>,
    describe: fn(SocketAddr, &str) -> Call,
) -> Vec<JoinHandle<()>> {
    let address = shared.address();
    (0..CALLERS)
        .map(|number| {
            let shared = shared.clone();
            thread::spawn(move || {
                let mut round = 0;
                while !shared.ended.load(Ordering::Relaxed) {
                    round += 1;
                    shared.send(&describe(address, &format!("{number} {round} plan")));
                }
            })
        })
        .collect()
}

fn plan(address: SocketAddr, prompt: &str) -> Call {
    draft_call(address, prompt, OUTPUT_TOKENS)
}

fn booking(address: SocketAddr, nonce: &str) -> Call {
    let key = Uuid::now_v7().to_string();
    Call::new(address, "order-desk", serde_json::json!({ "nonce": nonce }))
        .customer(CUSTOMER)
        .key(&key)
}

fn wait_for_list(fleet: &Fleet) {
    let (version, list) = (fleet.inventory.version, fleet.inventory.instances_version);
    for instance in fleet.instances.iter().map(|instance| instance.name.clone()) {
        wait_until(&format!("version {version} at {instance}"), STEP_LIMIT_MS, || {
            version_at(fleet, &instance) >= version
        })
        .unwrap();
    }
    wait_until(&format!("every instance may grant keys by list {list}"), STEP_LIMIT_MS, || {
        fleet.caller_addresses().into_iter().all(|address| {
            let page = status(address);
            page["standing"]["lawful"] == true && page["list_version"] == list
        })
    })
    .unwrap();
}

/// Publishes a list with a new instance and without those that ended, then stops the old one.
fn replace(fleet: &mut Fleet, shared: &Shared, old: &str) {
    let new = old.replace("entry", "fresh");
    fleet.add_instance(&new).unwrap();
    fleet.publish().unwrap();
    wait_for_list(fleet);
    shared.set_addresses(fleet);

    let index = fleet.instances.iter().position(|instance| instance.name == old).unwrap();
    let address = fleet.instances[index].caller_address;
    fleet.instances[index].process.begin_terminate().unwrap();
    wait_until("the instance is stopping", STEP_LIMIT_MS, || status(address)["stopping"] == true)
        .unwrap();
    thread::sleep(Duration::from_millis(BALANCER_LAG_MS));
    shared.addresses.lock().unwrap().retain(|listed| *listed != address);
    fleet.instances[index].process.wait(STEP_LIMIT_MS).unwrap();
    fleet.instances.remove(index);
    fleet.remove_from_inventory(old);
}

fn replace_all(describe: fn(SocketAddr, &str) -> Call) {
    let mut fleet = arrange();
    wait_for_list(&fleet);
    let shared = Arc::new(Shared::default());
    shared.set_addresses(&fleet);
    let callers = start_callers(&shared, describe);
    let start = Instant::now();

    for old in NAMES {
        replace(&mut fleet, &shared, old);
    }
    fleet.publish().unwrap();
    wait_for_list(&fleet);
    shared.ended.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| caller.join().unwrap());

    shared.print(elapsed_ms(start));
    let broken = shared.broken.lock().unwrap();
    assert!(
        broken.is_empty(),
        "{} requests were broken, first {:#?}",
        broken.len(),
        broken.first()
    );
    assert!(shared.done.load(Ordering::Relaxed) > NAMES.len() * CALLERS);
    assert!(fleet.instances.iter().all(|instance| instance.name.starts_with("fresh")));
}

#[test]
fn a_rolling_replacement_of_all_seven_cuts_no_request() {
    replace_all(plan);
}

#[test]
fn a_rolling_replacement_of_all_seven_cuts_no_booking() {
    replace_all(booking);
}

#[test]
fn a_planned_stop_finishes_running_requests_and_refuses_new_ones() {
    let mut fleet = arrange();
    wait_for_list(&fleet);
    let address = fleet.instances[0].caller_address;
    thread::sleep(Duration::from_millis(2 * CLOCK_MARGIN_MS));
    let running: Vec<JoinHandle<Answer>> = (0..CALLERS)
        .map(|number| {
            let call = draft_call(address, &format!("{number} long plan"), LONG_TOKENS);
            let key = Uuid::now_v7().to_string();
            let call = if number % 2 == 0 { call } else { call.key(&key) };
            thread::spawn(move || call.send().unwrap())
        })
        .collect();
    wait_until("the requests run", STEP_LIMIT_MS, || {
        status(address)["requests"]["running"] == CALLERS
    })
    .unwrap();

    fleet.instances[0].process.begin_terminate().unwrap();
    wait_until("the instance is stopping", STEP_LIMIT_MS, || status(address)["stopping"] == true)
        .unwrap();
    let late = draft_call(address, "sent too late", 5);
    let refused = late.send().unwrap();
    let resent = late.address(fleet.instances[1].caller_address).send().unwrap();

    assert_eq!((refused.status, refused.outcome), (503, Some(Outcome::NotRun)), "{refused:?}");
    assert!(refused.retry_after_ms.is_some(), "{refused:?}");
    assert_eq!(resent.outcome, Some(Outcome::Done), "{resent:?}");
    for (number, answer) in running.into_iter().enumerate() {
        let answer = answer.join().unwrap();
        println!("answer {number} took {} ms", answer.total_ms);
        assert!(answer.matches(&format!("{number} long plan")), "{answer:?}");
        assert!(answer.total_ms > LAST_WRITES_MS, "{} ms", answer.total_ms);
    }
    assert!(fleet.instances[0].process.wait(STEP_LIMIT_MS).unwrap().success());
}

#[test]
fn an_idle_instance_that_stops_refuses_requests_until_the_balancer_notices() {
    let mut fleet = arrange();
    let address = fleet.instances[0].caller_address;

    fleet.instances[0].process.begin_terminate().unwrap();
    thread::sleep(Duration::from_millis(BALANCER_LAG_MS));
    let refused = draft_call(address, "sent before the balancer knew", 5).send().unwrap();

    assert_eq!((refused.status, refused.outcome), (503, Some(Outcome::NotRun)), "{refused:?}");
    assert!(refused.retry_after_ms.is_some(), "{refused:?}");
    assert!(fleet.instances[0].process.wait(STEP_LIMIT_MS).unwrap().success());
}
