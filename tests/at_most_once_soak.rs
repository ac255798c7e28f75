//! A soak test: random faults of real processes while keys are sent repeatedly.
//!
//! `AT_MOST_ONCE_SOAK_SEED` sets the seed and `AT_MOST_ONCE_SOAK_S` the time with faults, in
//! seconds. The seed fixes the random choices, but not the timing of the processes.

mod bookings;

use std::env;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use bookings::{ALL_LIMIT_MS, Bookings, bookings};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use standins::caller::Outcome;
use standins::fleet::InstanceRow;
use standins::proxy::FaultMode;

const INSTANCES: usize = 5;
const SEED: u64 = 4;
const SOAK_S: u64 = 12;
const STEP_MS: u64 = 100;
/// Number of latest keys among which one is chosen to be sent.
const RECENT_KEYS: usize = 5;
const MODES: [FaultMode; 5] = [
    FaultMode::Cut,
    FaultMode::Freeze,
    FaultMode::FreezeToClient,
    FaultMode::FreezeToTarget,
    FaultMode::HalfOpen,
];

struct Soak {
    bookings: Bookings,
    calls: Vec<JoinHandle<Option<Outcome>>>,
    keys: Vec<String>,
    paused: Vec<String>,
    random: StdRng,
    all_instances: Vec<InstanceRow>,
}

fn env_number(variable: &str, default: u64) -> u64 {
    env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

impl Soak {
    fn start(seed: u64) -> Self {
        let bookings = Bookings::start(bookings(INSTANCES));
        Self {
            all_instances: bookings.fleet.inventory.instances.clone(),
            bookings,
            calls: Vec::new(),
            keys: Vec::new(),
            paused: Vec::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    fn random_instance(&mut self) -> String {
        let names = self.bookings.names();
        names[self.random.random_range(0..names.len())].clone()
    }

    fn send(&mut self) {
        if self.keys.is_empty() || self.random.random_bool(0.3) {
            let members = &self.bookings.fleet.inventory.instances;
            let home = members[self.random.random_range(0..members.len())].name.clone();
            self.keys.push(self.bookings.key_with_home(&home));
        }
        let recent = self.keys.len().min(RECENT_KEYS);
        let back = self.random.random_range(0..recent);
        let key = self.keys[self.keys.len() - 1 - back].clone();
        let instance = self.random_instance();
        self.calls.push(self.bookings.send_in_background(&instance, &key));
    }

    fn inject_fault(&mut self) {
        let (name, other) = (self.random_instance(), self.random_instance());
        match self.random.random_range(0..24u8) {
            0 => self.restart(&name),
            1 => self.pause(&name),
            2 | 3 => self.resume_all(),
            4 | 5 if name != other => {
                let mode = MODES[self.random.random_range(0..MODES.len())];
                self.bookings.fleet.fault_link(&name, &other, mode).unwrap();
            }
            6..=8 if name != other => {
                self.bookings.fleet.fault_link(&name, &other, FaultMode::Pass).unwrap();
            }
            9 => self.change_list(&name),
            10 => self.bookings.fleet.restart_backend("order-desk-1").unwrap(),
            _ => {}
        }
    }

    /// Removes an instance from the list, or restores the full list if one is missing.
    fn change_list(&mut self, name: &str) {
        let fleet = &mut self.bookings.fleet;
        if fleet.inventory.instances.len() < INSTANCES {
            fleet.inventory.instances.clone_from(&self.all_instances);
        } else {
            fleet.remove_from_inventory(name);
        }
        fleet.publish().unwrap();
    }

    fn resume_all(&mut self) {
        for name in std::mem::take(&mut self.paused) {
            self.bookings.fleet.instance(&name).unwrap().process.cont().unwrap();
        }
    }

    fn pause(&mut self, name: &str) {
        if !self.paused.iter().any(|paused| paused == name) {
            self.bookings.fleet.instance(name).unwrap().process.stop().unwrap();
            self.paused.push(name.to_owned());
        }
    }

    fn restart(&mut self, name: &str) {
        self.paused.retain(|paused| paused != name);
        self.bookings.fleet.restart_instance(name).unwrap();
    }
}

impl Soak {
    fn end_faults(&mut self) {
        self.resume_all();
        for name in self.bookings.names() {
            self.bookings.fleet.fault_instance(&name, FaultMode::Pass).unwrap();
        }
        self.bookings.fleet.inventory.instances.clone_from(&self.all_instances);
        self.bookings.fleet.publish().unwrap();
        self.calls.drain(..).for_each(|call| {
            call.join().unwrap();
        });
    }
}

#[test]
fn no_key_runs_twice_under_random_faults() {
    let seed = env_number("AT_MOST_ONCE_SOAK_SEED", SEED);
    let soak_s = env_number("AT_MOST_ONCE_SOAK_S", SOAK_S);
    println!("seed {seed}, {soak_s} s with faults");
    let mut soak = Soak::start(seed);

    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(soak_s) {
        soak.send();
        soak.inject_fault();
        thread::sleep(Duration::from_millis(STEP_MS));
    }
    soak.end_faults();

    let names = soak.bookings.names();
    soak.bookings.check_fresh_keys(&names[0], &names, ALL_LIMIT_MS);
    soak.bookings.check_executions();
    println!("{} keys were sent", soak.keys.len());
}
