//! Schedules written step by step, for faults that random schedules rarely produce.

use bergamotspan::home_rules::HomeRules;
use bergamotspan::name::Name;

use super::{Fleet, Outcome, Plan, STEP_MS, instance_name};

/// Latest keys that are sent again: enough to send a key again after a change of the list.
const RECENT_KEYS: usize = 60;

/// Three instances, 0 to 2, on list 1; instances get other lists only from the script.
pub struct Script {
    fleet: Fleet,
}

impl Script {
    /// Starts the three instances under the given rules.
    pub fn start(rules: HomeRules) -> Self {
        let mut fleet =
            Fleet::start(Plan { recent_keys: RECENT_KEYS, ..Plan::new(0).calm().rules(rules) });
        fleet.faults.platform_read = 0.0;
        fleet.faults.fetch_failure = 1.0;
        Self { fleet }
    }

    /// Publishes a list and starts its new instances on it.
    pub fn publish(mut self, members: &[usize]) -> Self {
        let names: Vec<Name> = members.iter().map(|number| instance_name(*number)).collect();
        self.fleet.lists.push(names.clone());
        let version = self.fleet.lists.len() as u64;
        for name in names {
            if !self.fleet.processes.contains_key(&name) {
                self.fleet.start_process(name, version);
            }
        }
        self
    }

    /// Lets instances read the newest list.
    pub fn read(mut self, numbers: &[usize]) -> Self {
        let version = self.fleet.lists.len() as u64;
        for number in numbers {
            let name = instance_name(*number);
            self.fleet.adopt(&name, version);
        }
        self
    }

    /// Kills an instance.
    pub fn kill(mut self, number: usize) -> Self {
        self.fleet.processes.remove(&instance_name(number));
        self
    }

    /// Stops an instance, which hands its keys over.
    pub fn stop(mut self, number: usize) -> Self {
        self.fleet.stop(&instance_name(number), true);
        self
    }

    /// Starts or restarts an instance on the list of the given version.
    pub fn restart(mut self, number: usize, version: u64) -> Self {
        self.fleet.start_process(instance_name(number), version);
        self
    }

    /// Cuts the given instances off from the others, both ways.
    pub fn cut_off(mut self, numbers: &[usize]) -> Self {
        self.fleet.faults.partition = numbers.iter().map(|number| instance_name(*number)).collect();
        self
    }

    /// Delays the packets from some instances to another, in milliseconds.
    pub fn slow_down(mut self, to: usize, from: &[usize], delay_ms: u64) -> Self {
        let link = |from: &usize| (instance_name(*from), instance_name(to), delay_ms);
        self.fleet.faults.slow_links = from.iter().map(link).collect();
        self
    }

    /// Runs for a time, in milliseconds.
    pub fn run_for(mut self, duration_ms: u64) -> Self {
        for _ in 0..duration_ms / STEP_MS {
            self.fleet.now_ms += STEP_MS;
            self.fleet.step();
        }
        self
    }

    /// Ends the schedule.
    pub fn outcome(self) -> Outcome {
        self.fleet.outcome()
    }
}
