//! Command that measures the overhead of an instance on the time to the first token.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use argh::FromArgs;
use attohttpc::{Method, RequestBuilder};
use serde_json::{Value, json};

use super::overhead_report::{FirstTokenUs, OverheadReport};
use super::series::load_average;
use super::streams_trial::{STREAM_OPTIONS, open_streams, wait_until_running};
use super::usage::resident_kb;
use crate::caller::{Call, EventReader, without_proxy};
use crate::fleet::{Fleet, FleetError, ServiceSpec};
use crate::load::{LoadPlan, Mix, RequestClass};

const CUSTOMER: &str = "customer-1";
const DEADLINE_MS: u64 = 600_000;
const OUTPUT_TOKENS: u64 = 2;
const PROBE_SERVICE: &str = "probe";
/// Short steps, so that the engine's own time hides little of the overhead.
const PROBE_OPTIONS: [&str; 8] = [
    "--max-running",
    "512",
    "--step-base-us",
    "200",
    "--decode-us-per-token",
    "1",
    "--prefill-us-per-token",
    "1",
];
const PROMPT_TOKENS: u64 = 256;
const STACK_BYTES: usize = 256 * 1024;
const STREAM_ENGINES: usize = 8;
const STREAM_SERVICE: &str = "plan";
const TIMEOUT_MS: u64 = 30_000;
const TOKEN_LIMIT_TOKENS: u32 = 100_000_000;
/// Requests sent to each target before the measured ones, to warm up every component.
const WARM_UP_SENDS: usize = 50;

/// Compares requests through an instance with requests sent directly to the same engine.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "overhead")]
pub struct OverheadCommand {
    /// fails if the overhead of the instance exceeds its limits
    #[argh(switch)]
    pub check: bool,
    /// duration of the arrivals in milliseconds
    #[argh(option, default = "20000")]
    pub duration_ms: u64,
    /// prints JSON instead of text
    #[argh(switch)]
    pub json: bool,
    /// requests per second to each of the two targets
    #[argh(option, default = "150.0")]
    pub rate_per_s: f64,
    /// seed of the arrivals
    #[argh(option, default = "1")]
    pub seed: u64,
    /// streams that are open during the whole measurement
    #[argh(option, default = "1000")]
    pub streams: usize,
}

/// Target of the probe requests: the engine itself or an instance in front of it.
#[derive(Clone, Copy, Debug)]
enum ProbeTarget {
    Direct(SocketAddr),
    Instance(SocketAddr),
}

impl OverheadCommand {
    /// Measures both targets at the same time and prints the result.
    ///
    /// # Errors
    ///
    /// Returns an error if the fleet does not start, or with `--check` if a limit is exceeded.
    pub fn run(self) -> io::Result<()> {
        let report = self.measure().map_err(io::Error::other)?;
        match self.json {
            true => println!("{}", serde_json::to_string(&report)?),
            false => print!("{report}"),
        }
        match self.check && !report.is_within_limits() {
            true => Err(io::Error::other("the overhead of the instance exceeds its limits")),
            false => Ok(()),
        }
    }

    fn measure(&self) -> Result<OverheadReport, FleetError> {
        let mut fleet = start_fleet()?;
        let instance_target = ProbeTarget::Instance(fleet.caller_addresses()[0]);
        let direct_target = ProbeTarget::Direct(fleet.backend("probe-1")?.address);
        for target in [instance_target, direct_target].repeat(WARM_UP_SENDS) {
            send(target, "warm up");
        }
        let process_id = fleet.instances[0].process.id();
        let empty_kb = resident_kb(process_id);
        open_streams(&fleet, self.streams);
        wait_until_running(&mut fleet, self.streams)?;
        let instance_times = self.send_arrivals(instance_target, self.seed);
        let direct_times = self.send_arrivals(direct_target, self.seed + 1);
        let (instance, direct) = (summarise(instance_times), summarise(direct_times));
        let open_kb = resident_kb(process_id);
        wait_until_running(&mut fleet, self.streams)?;
        Ok(OverheadReport {
            direct,
            instance,
            kb_per_stream: open_kb.saturating_sub(empty_kb) as f64 / self.streams.max(1) as f64,
            load_average: load_average().unwrap_or_default(),
            streams: self.streams,
        })
    }

    /// Sends Poisson arrivals to a target in the background; the returned channel yields their times
    /// to the first token in microseconds, or `None` for an incomplete answer.
    fn send_arrivals(&self, target: ProbeTarget, seed: u64) -> flume::Receiver<Option<u64>> {
        let class = RequestClass {
            prefixes: 0,
            prompt_tokens_max: PROMPT_TOKENS,
            prompt_tokens_min: PROMPT_TOKENS,
            ..RequestClass::default()
        };
        let duration = Duration::from_millis(self.duration_ms);
        let plan = LoadPlan::poisson(Mix { classes: vec![class] }, self.rate_per_s, duration, seed);
        let (sender, receiver) = flume::unbounded();
        thread::spawn(move || {
            let start = Instant::now();
            for arrival in plan.arrivals {
                thread::sleep((start + arrival.at).saturating_duration_since(Instant::now()));
                let sender = sender.clone();
                let work = move || {
                    // The receiver lives until all senders are dropped.
                    let _ = sender.send(send(target, &arrival.prompt));
                };
                let thread = thread::Builder::new().stack_size(STACK_BYTES);
                thread.spawn(work).expect("a thread can be started");
            }
        });
        receiver
    }
}

fn start_fleet() -> Result<Fleet, FleetError> {
    let probe = ServiceSpec::model(PROBE_SERVICE, "m", 1).options(&PROBE_OPTIONS);
    let streams = ServiceSpec::model(STREAM_SERVICE, "m", STREAM_ENGINES).options(&STREAM_OPTIONS);
    Fleet::builder()
        .instances(1)
        .service(probe.token_limit_tokens(TOKEN_LIMIT_TOKENS))
        .service(streams.token_limit_tokens(TOKEN_LIMIT_TOKENS))
        .tier("high", DEADLINE_MS)
        .start()
}

fn summarise(times_us: flume::Receiver<Option<u64>>) -> FirstTokenUs {
    FirstTokenUs::from_times(&times_us.iter().collect::<Vec<_>>())
}

/// Sends one request and returns its time to the first token in microseconds, or `None` if its
/// answer is incomplete.
fn send(target: ProbeTarget, prompt: &str) -> Option<u64> {
    let body = json!({
        "prompt": prompt, "max_output_tokens": OUTPUT_TOKENS, "output_tokens": OUTPUT_TOKENS,
    });
    match target {
        ProbeTarget::Direct(address) => send_direct(address, &body),
        ProbeTarget::Instance(address) => send_instance(address, body),
    }
}

fn send_direct(address: SocketAddr, body: &Value) -> Option<u64> {
    let url = format!("http://{address}/v1/generate");
    let timeout = Duration::from_millis(TIMEOUT_MS);
    let request = without_proxy(RequestBuilder::new(Method::POST, url), timeout);
    let sent_at = Instant::now();
    let mut reader = EventReader::new(request.json(body).ok()?.send().ok()?);
    let mut first_us = None;
    while let Ok(Some(event)) = reader.next_event() {
        match event.name.as_str() {
            "token" => record_first_token(&mut first_us, sent_at),
            "end" => return first_us,
            _ => return None,
        }
    }
    None
}

fn send_instance(address: SocketAddr, body: Value) -> Option<u64> {
    let call = Call::new(address, PROBE_SERVICE, body).customer(CUSTOMER).timeout_ms(TIMEOUT_MS);
    let mut first_us = None;
    let sent_at = Instant::now();
    let answer = call.send_observed(|event| {
        if event.name == "token" {
            record_first_token(&mut first_us, sent_at);
        }
    });
    answer.ok().filter(|answer| answer.whole).and(first_us)
}

fn record_first_token(first_us: &mut Option<u64>, sent_at: Instant) {
    first_us.get_or_insert_with(|| sent_at.elapsed().as_micros() as u64);
}
