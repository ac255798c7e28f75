//! A fleet with a plain service for bookings, and a record of the outcomes that callers received.
//!
//! The outcomes are checked against the counters of the plain service: no key and no request may be
//! executed twice, and a key may be executed only if a send of it got an outcome other than
//! `not_run`.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod fleet_permit;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use bergamotspan::inventory::{Instance, Inventory};
use bergamotspan::name::Name;
use bergamotspan::view::View;
use fleet_permit::FleetPermit;
use serde_json::{Value, json};
use standins::caller::{Call, Outcome};
use standins::fleet::{Fleet, FleetBuilder, ServiceSpec, get_json, wait_until};
use standins::plain_service::Executions;
use uuid::Uuid;

/// Clock margin of the instances, in milliseconds.
pub const CLOCK_MARGIN_MS: u64 = 50;
/// Confirmation window of the instances, in milliseconds.
pub const WINDOW_MS: u64 = 600;
/// A pause longer than the confirmation window, the grant limit and the wait for a home together.
pub const LONG_PAUSE_MS: u64 = 3_000;
/// Maximum time until homes unaffected by a fault grant fresh keys, in milliseconds: the time within
/// which a silent connection has to be detected.
pub const OTHERS_LIMIT_MS: u64 = 5_000;
/// Maximum time until every home grants fresh keys after a fault, in milliseconds: detection of a
/// silent link, two windows of abstention, one for the recovery quorum and one to settle.
pub const ALL_LIMIT_MS: u64 = OTHERS_LIMIT_MS + 4 * WINDOW_MS;

const CALL_LIMIT_MS: u64 = 8_000;
const CUSTOMER: &str = "customer-1";
const SERVICE: &str = "order-desk";
const SERVICE_DELAY_MS: &str = "600";
const SETTLE_LIMIT_MS: u64 = 20_000;

/// Outcome that the caller of one send received; `None` if there was none.
type ReportedOutcome = Option<Outcome>;

/// Outcomes of all sends, by key.
type Sends = Arc<Mutex<BTreeMap<String, Vec<ReportedOutcome>>>>;

/// A fleet with a plain service for bookings.
pub struct Bookings {
    /// The fleet.
    pub fleet: Fleet,
    sends: Sends,
    _permit: FleetPermit,
}

/// Describes a fleet with short windows and two plain servers for bookings.
pub fn bookings(instances: usize) -> FleetBuilder {
    let options = ["--delay-ms", SERVICE_DELAY_MS];
    let service = ServiceSpec::plain(SERVICE, 2).idempotent(false).options(&options);
    Fleet::builder()
        .instances(instances)
        .service(service.token_limit_tokens(16_384).prefill_tokens_per_s(20_000))
        .proxy_peers()
        .setting("keys", "clock_margin_ms", CLOCK_MARGIN_MS)
        .setting("peer", "confirmation_window_ms", WINDOW_MS)
        .setting("peer", "heartbeat_interval_ms", 100)
}

impl Bookings {
    /// Starts a fleet and waits until every instance may grant keys.
    pub fn start(builder: FleetBuilder) -> Self {
        let permit = FleetPermit::wait();
        let fleet = builder.start().unwrap();
        let bookings = Self { fleet, sends: Sends::default(), _permit: permit };
        bookings.wait_eligible(&bookings.names(), SETTLE_LIMIT_MS);
        // Keys have to be minted more than twice the clock margin after that.
        thread::sleep(Duration::from_millis(3 * CLOCK_MARGIN_MS));
        bookings
    }

    /// Returns the names of the instances that run or are paused, in the order of their start.
    pub fn names(&self) -> Vec<String> {
        self.fleet.instances.iter().map(|instance| instance.name.clone()).collect()
    }

    /// Mints a key whose home is the given instance, by the inventory that is published next.
    ///
    /// # Panics
    ///
    /// Panics if that inventory lacks the instance.
    pub fn key_with_home(&self, home: &str) -> String {
        let view = self.view();
        assert!(view.members().iter().any(|name| **name == *home), "{home} is not published");
        let mut keys = (0..).map(|_| Uuid::now_v7().to_string());
        keys.find(|key| *view.home(key) == *home).unwrap()
    }

    /// Sends a booking and returns the outcome that its caller receives.
    pub fn send(&self, instance: &str, key: &str) -> ReportedOutcome {
        self.send_in_background(instance, key).join().unwrap()
    }

    /// Sends a booking of a key through each of several instances at the same moment.
    pub fn send_through<S>(&self, instances: &[S], key: &str) -> Vec<ReportedOutcome>
    where
        S: AsRef<str>,
    {
        let calls: Vec<_> =
            instances.iter().map(|name| self.send_in_background(name.as_ref(), key)).collect();
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    }

    /// Sends a booking on a thread of its own.
    pub fn send_in_background(&self, instance: &str, key: &str) -> JoinHandle<ReportedOutcome> {
        self.send_body(instance, key, json!({ "nonce": key }))
    }

    /// Sends a booking with the given body on a thread of its own.
    pub fn send_body(&self, instance: &str, key: &str, body: Value) -> JoinHandle<ReportedOutcome> {
        let names = self.names();
        let at = names.iter().position(|name| name == instance).unwrap();
        let call = Call::new(self.fleet.instances[at].caller_address, SERVICE, body)
            .customer(CUSTOMER)
            .deadline_ms(CALL_LIMIT_MS)
            .key(key)
            .path("bookings")
            .timeout_ms(CALL_LIMIT_MS);
        let (key, sends) = (key.to_owned(), self.sends.clone());
        thread::spawn(move || {
            let outcome = call.send().ok().and_then(|answer| answer.outcome);
            sends.lock().unwrap().entry(key).or_default().push(outcome);
            outcome
        })
    }

    /// Waits until a key was executed.
    pub fn wait_executed(&self, key: &str) {
        wait_until("an execution", OTHERS_LIMIT_MS, || {
            self.fleet.executions_of_key(key).is_ok_and(|count| count > 0)
        })
        .unwrap();
    }

    /// Waits until a home has granted at least one key.
    pub fn wait_granted(&self, home: &str) {
        wait_until("a granted key", OTHERS_LIMIT_MS, || {
            self.status(home).is_some_and(|status| status["keys"]["remembered"] != json!(0))
        })
        .unwrap();
    }

    /// Waits until the instances may grant keys.
    pub fn wait_eligible<S>(&self, instances: &[S], limit_ms: u64)
    where
        S: AsRef<str>,
    {
        let is_eligible = |name: &S| {
            self.status(name.as_ref())
                .is_some_and(|status| status["standing"]["lawful"] == json!(true))
        };
        wait_until("eligible homes", limit_ms, || instances.iter().all(is_eligible)).unwrap();
    }

    /// Waits until the instances use a list version.
    pub fn wait_list(&self, instances: &[String], version: u64) {
        let has_version = |name: &String| {
            self.status(name).is_some_and(|status| status["list_version"] == json!(version))
        };
        wait_until("the list", SETTLE_LIMIT_MS, || instances.iter().all(has_version)).unwrap();
    }

    /// Checks that a fresh key of each home is granted and runs within a limit, in milliseconds.
    pub fn check_fresh_keys<S>(&self, receiver: &str, homes: &[S], limit_ms: u64)
    where
        S: AsRef<str>,
    {
        let started = Instant::now();
        for home in homes {
            let is_done = || {
                let key = self.key_with_home(home.as_ref());
                self.send(receiver, &key) == Some(Outcome::Done)
            };
            let used_ms = started.elapsed().as_millis() as u64;
            let left_ms = limit_ms.saturating_sub(used_ms);
            let name = format!("fresh keys of {} through {receiver}", home.as_ref());
            wait_until(&name, left_ms, is_done).unwrap();
        }
    }

    /// Checks every execution against the outcomes that the callers received.
    pub fn check_executions(&self) {
        let sends = self.sends.lock().unwrap();
        let executions = self.executions();
        for (request, count) in &executions.requests {
            assert_eq!(*count, 1, "request {request} ran {count} times");
        }
        for (key, outcomes) in sends.iter() {
            let count = executions.keys.get(key).copied().unwrap_or(0);
            let is_done = outcomes.contains(&Some(Outcome::Done));
            let may_have_run = outcomes.iter().any(|outcome| *outcome != Some(Outcome::NotRun));
            assert!(count <= 1, "key {key} ran {count} times: {outcomes:?}");
            assert!(count == 0 || may_have_run, "key {key} ran, but its sends got: {outcomes:?}");
            assert!(
                count == 1 || !is_done,
                "key {key} did not run, but its sends got: {outcomes:?}"
            );
        }
    }

    /// Returns how often keys and requests were executed by all servers together.
    pub fn executions(&self) -> Executions {
        let mut sum = Executions::default();
        for backend in &self.fleet.backends {
            let part: Executions = get_json(backend.address, "/v1/executions").unwrap();
            part.keys.into_iter().for_each(|(key, n)| *sum.keys.entry(key).or_default() += n);
            let requests = part.requests.into_iter();
            requests.for_each(|(id, n)| *sum.requests.entry(id).or_default() += n);
        }
        sum
    }

    /// Returns the status page of an instance, if it answers.
    pub fn status(&self, name: &str) -> Option<Value> {
        let instance = self.fleet.instances.iter().find(|instance| instance.name == name)?;
        get_json(instance.caller_address, "/status").ok()
    }

    /// Returns the coordinator of the bookings while all instances are live.
    pub fn coordinator(&self) -> String {
        let names: Vec<Name> = self.names().iter().map(|name| name.as_str().into()).collect();
        self.view().coordinator(SERVICE, &names).unwrap().to_string()
    }

    fn view(&self) -> View {
        let instances = self.fleet.inventory.instances.iter().map(|row| Instance {
            caller_address: row.caller_address,
            data_centre: row.data_centre.as_str().into(),
            name: row.name.as_str().into(),
            peer_address: row.peer_address,
        });
        let inventory = Inventory { instances: instances.collect(), ..Inventory::default() };
        View::from_inventory(&inventory, "observer".into())
    }
}
