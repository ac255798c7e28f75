//! Tests of the rate at which instances read the platform.
//!
//! The platform answers 2,000 reads a second, in which a waiting watch counts as one, and the
//! design has 1,200 instances. So three instances may make at most five reads in any second.

mod seven;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamotspan::platform_event::{PlatformEvent, PlatformSink};
use bergamotspan::platform_watch::PlatformWatch;
use bergamotspan::settings::PlatformSettings;
use serde_json::{Value, json};
use seven::{NAMES, elapsed_ms, seven_fleet, wait_in_force};
use standins::fleet::{Process, get_json, put_json, standin};
use standins::platform::{Counters, PlatformFaults};
use standins::process::Listening;

/// Number of readers: 1/20 of the instances in the design.
const READERS: u32 = 60;
/// Maximum number of reads in any second: 1/20 of the platform's limit.
const READS_LIMIT: u64 = 100;
/// Time between the starts of two readers, in milliseconds.
const START_INTERVAL_MS: u64 = 25;
/// Length of each phase, in milliseconds.
const PHASE_MS: u64 = 2_500;
/// Time between two samples of the counters, in milliseconds.
const SAMPLE_INTERVAL_MS: u64 = 20;
/// Default wait of one watch, in milliseconds.
const WATCH_TIMEOUT_MS: u64 = 3_000;

struct DiscardingSink;

impl PlatformSink for DiscardingSink {
    fn deliver(&self, _event: PlatformEvent) {}
}

/// A platform with many readers, and samples of its read counter.
struct Given {
    address: SocketAddr,
    folder: tempfile::TempDir,
    platform: Process,
    readers: Vec<PlatformWatch>,
    samples: Vec<(Instant, u64)>,
}

impl Given {
    fn start() -> Self {
        let folder = tempfile::TempDir::new().unwrap();
        let (platform, line): (_, Listening) =
            Process::start("platform", &mut standin("platform").unwrap(), folder.path()).unwrap();
        let address = line.listening;
        let mut given =
            Self { address, folder, platform, readers: Vec::new(), samples: Vec::new() };
        given.publish(1);
        for _ in 0..READERS {
            let settings = PlatformSettings { address, watch_timeout_ms: WATCH_TIMEOUT_MS };
            given.readers.push(PlatformWatch::start(&settings, Arc::new(DiscardingSink)).unwrap());
            given.readers.last().unwrap().set_version(1);
            std::thread::sleep(Duration::from_millis(START_INTERVAL_MS));
        }
        given
    }

    fn counters(&self) -> Counters {
        get_json(self.address, "/v1/counters").unwrap()
    }

    fn publish(&self, version: u64) {
        let url = format!("http://{}/v1/admin/config", self.address);
        let text = format!("[inventory]\nversion = {version}\n");
        assert!(attohttpc::put(url).text(text).send().unwrap().is_success());
        self.readers.iter().for_each(|reader| reader.set_version(version));
    }

    fn set_outage(&self, outage: bool) {
        let faults = PlatformFaults { outage, ..PlatformFaults::default() };
        put_json::<_, Value>(self.address, "/v1/admin/faults", &faults).unwrap();
    }

    fn sample_phase(&mut self, phase: &str) {
        let start = Instant::now();
        while elapsed_ms(start) < PHASE_MS {
            let counters = self.counters();
            self.samples.push((Instant::now(), counters.reads + counters.watches));
            std::thread::sleep(Duration::from_millis(SAMPLE_INTERVAL_MS));
        }
        println!("{phase}: {} reads in the busiest second so far", self.busiest_second());
    }

    fn busiest_second(&self) -> u64 {
        let second = Duration::from_secs(1);
        let reads_from = |(at, reads): &(Instant, u64)| {
            let inside = self.samples.iter().filter(|(later, _)| *later <= *at + second);
            inside.map(|(_, later_reads)| later_reads - reads.min(later_reads)).max().unwrap_or(0)
        };
        self.samples.iter().map(reads_from).max().unwrap_or(0)
    }
}

#[test]
fn changes_and_outages_cause_no_burst_of_reads() {
    let mut given = Given::start();

    given.sample_phase("steady");
    given.publish(2);
    given.sample_phase("after a change");
    given.set_outage(true);
    given.sample_phase("in an outage");
    given.set_outage(false);
    given.sample_phase("after the outage");

    let busiest = given.busiest_second();
    assert!(busiest <= READS_LIMIT, "{busiest} reads in one second");
    assert!(given.counters().most_waiting <= u64::from(READERS), "{:?}", given.counters());
    assert!(given.platform.is_running() && given.folder.path().exists());
}

#[test]
fn each_of_seven_instances_has_one_watch_at_most() {
    let mut fleet = seven_fleet().start().unwrap();
    wait_in_force(&fleet, &NAMES, 1);
    let (start, before) = (Instant::now(), fleet.platform_counters().unwrap());

    for version in 2..=3 {
        fleet.publish().unwrap();
        wait_in_force(&fleet, &NAMES, version);
        std::thread::sleep(Duration::from_secs(2));
    }

    let (after, seconds) = (fleet.platform_counters().unwrap(), start.elapsed().as_secs_f64());
    let reads = after.reads + after.watches - before.reads - before.watches;
    let per_instance = reads as f64 / seconds / NAMES.len() as f64;
    println!("{per_instance:.2} reads a second and instance over {seconds:.1} s");
    assert!(per_instance <= 2_000.0 / 1_200.0, "{per_instance}");
    assert!(after.most_waiting <= NAMES.len() as u64, "{after:?}");
    let reported_reads = fleet.status("entry-2").unwrap()["platform"]["reads"].as_u64().unwrap();
    assert!(reported_reads > 0, "{}", json!(reported_reads));
}
