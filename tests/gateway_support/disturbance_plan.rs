//! What happens to a fleet with several versions, and when.

#![allow(dead_code, reason = "each test takes what it needs")]

use std::collections::BTreeMap;

use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use crate::versioned_fleet::VersionedFleet;

/// A disturbance beside the replacement of engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disturbance {
    /// A version comes and goes while some instances hear of nothing.
    BriefVersion,
    /// The same, and then the instances that knew of it are killed, so that nobody knows the streams.
    ForgottenVersion,
    KillAll,
    KillMost,
    KillOne,
    /// Some instances hear of nothing from right before many engines of a version come, while the
    /// others start.
    JustStarted,
    /// Some instances hear of nothing from right before the first replacement, while some start.
    LateNews,
    Loss,
    Mixed,
    None,
    Split,
    /// Some instances stand still, right before the first replacement and again and again.
    StandStill,
    StoreCut,
    StoreDown,
}

/// Something that happens to the fleet.
#[derive(Clone, Debug)]
pub enum Action {
    AddEngine(&'static str),
    CutFromStore(Vec<bool>),
    DrainEngine(&'static str),
    EndEngine(usize),
    GoOn(Vec<usize>),
    Kill(Vec<usize>),
    Restart(Vec<usize>),
    Sides(Vec<u8>),
    StandStill(Vec<usize>),
}

/// What happens when; actions of the same time in the order in which they were added.
pub struct Plan {
    pub actions: BTreeMap<(u64, usize), Action>,
    pub is_traced: bool,
    pub random: StdRng,
}

impl Plan {
    pub fn add(&mut self, at_ms: u64, action: Action) {
        let number = self.actions.len();
        self.actions.insert((at_ms, number), action);
    }

    /// Replaces `count` engines one by one; returns the end.
    pub fn replace(
        &mut self,
        from_ms: u64,
        count: usize,
        old: &'static str,
        new: &'static str,
    ) -> u64 {
        let mut now_ms = from_ms;
        for _ in 0..count {
            self.add(now_ms, Action::AddEngine(new));
            now_ms += self.random.random_range(400..=1_000);
            self.add(now_ms, Action::DrainEngine(old));
        }
        now_ms
    }

    /// Replaces all engines, or some and then these back, until the time is over.
    pub fn replace_engines(&mut self, from_ms: u64, end_ms: u64, engines: usize) {
        let (mut now_ms, mut old, mut new) = (from_ms, "v1", "v2");
        while now_ms < end_ms {
            let turns = self.random.random_bool(0.4);
            let count =
                if turns { self.random.random_range(1..=engines.div_ceil(2)) } else { engines };
            now_ms = self.replace(now_ms, count, old, new);
            now_ms += self.random.random_range(0..3_000);
            if turns {
                now_ms = self.replace(now_ms, count, new, old);
                now_ms += self.random.random_range(0..6_000);
            } else {
                (old, new) = (new, old);
            }
        }
        self.actions.retain(|(at_ms, _), action| {
            *at_ms < end_ms || !matches!(action, Action::AddEngine(_) | Action::DrainEngine(_))
        });
    }

    pub fn some(&mut self, instances: usize, share: f64) -> Vec<usize> {
        let mut all: Vec<usize> = (0..instances).collect();
        all.shuffle(&mut self.random);
        all.truncate(((instances as f64 * share).round() as usize).max(1));
        all
    }

    pub fn kill(&mut self, now_ms: u64, killed: Vec<usize>, together: bool) -> u64 {
        let down_ms = self.random.random_range(300..1_500);
        self.add(now_ms, Action::Kill(killed.clone()));
        if together {
            self.add(now_ms + down_ms, Action::Restart(killed));
        } else {
            for at in killed {
                let restart_ms = now_ms + self.random.random_range(300..1_500);
                self.add(restart_ms, Action::Restart(vec![at]));
            }
        }
        now_ms + 1_500
    }

    /// Cuts instances from the store, and from the others or not; returns the end.
    pub fn cut_off(&mut self, from_ms: u64, is_cut: Vec<bool>, duration_ms: u64) -> u64 {
        let instances = is_cut.len();
        if self.random.random_bool(0.7) {
            let sides = is_cut.iter().map(|cut| u8::from(*cut)).collect();
            self.add(from_ms, Action::Sides(sides));
        }
        self.add(from_ms, Action::CutFromStore(is_cut));
        self.add(from_ms + duration_ms, Action::CutFromStore(vec![false; instances]));
        self.add(from_ms + duration_ms, Action::Sides(vec![0; instances]));
        from_ms + duration_ms
    }

    /// Has a version come and go while some instances hear of nothing; returns the end.
    pub fn add_brief_version(&mut self, from_ms: u64, instances: usize, is_forgotten: bool) -> u64 {
        let mut is_cut = vec![false; instances];
        self.some(instances, 0.3).into_iter().for_each(|at| is_cut[at] = true);
        let others = (0..instances).filter(|at| !is_cut[*at]).collect();
        let end_ms = self.cut_off(from_ms, is_cut, 8_000);
        if is_forgotten {
            self.kill(end_ms - 200, others, true);
        }
        (0..2).for_each(|_| self.add(from_ms + 200, Action::AddEngine("v2")));
        let drain_ms = end_ms - self.random.random_range(2_500..3_500);
        (0..2).for_each(|_| self.add(drain_ms, Action::DrainEngine("v2")));
        end_ms + 10_000
    }

    /// Adds one disturbance; returns its end.
    pub fn disturb(&mut self, now_ms: u64, disturbance: Disturbance, instances: usize) -> u64 {
        let together = self.random.random_bool(0.5);
        match disturbance {
            Disturbance::KillAll => self.kill(now_ms, (0..instances).collect(), together) + 6_000,
            Disturbance::KillMost => {
                let killed = self.some(instances, 0.55);
                self.kill(now_ms, killed, together) + 4_000
            }
            Disturbance::KillOne => {
                let killed = self.some(instances, 0.0);
                self.kill(now_ms, killed, together) + self.random.random_range(0..1_500)
            }
            Disturbance::BriefVersion
            | Disturbance::ForgottenVersion
            | Disturbance::JustStarted
            | Disturbance::LateNews
            | Disturbance::Loss
            | Disturbance::None => u64::MAX,
            Disturbance::Mixed => {
                let other = [
                    Disturbance::KillAll,
                    Disturbance::KillMost,
                    Disturbance::KillOne,
                    Disturbance::Split,
                    Disturbance::StoreCut,
                    Disturbance::StoreDown,
                ][self.random.random_range(0..6)];
                self.disturb(now_ms, other, instances)
                    .min(now_ms + self.random.random_range(500..5_000))
            }
            Disturbance::Split => {
                let sides = (0..instances).map(|_| self.random.random_range(1..3)).collect();
                self.add(now_ms, Action::Sides(sides));
                let end_ms = now_ms + self.random.random_range(1_000..8_000);
                self.add(end_ms, Action::Sides(vec![0; instances]));
                end_ms + self.random.random_range(1_000..5_000)
            }
            Disturbance::StandStill => {
                let still = self.some(instances, 0.3);
                let end_ms = now_ms + self.random.random_range(500..5_000);
                self.add(now_ms, Action::StandStill(still.clone()));
                self.add(end_ms, Action::GoOn(still));
                end_ms + self.random.random_range(500..3_000)
            }
            Disturbance::StoreCut | Disturbance::StoreDown => {
                let share = if disturbance == Disturbance::StoreDown { 1.0 } else { 0.3 };
                let mut is_cut = vec![false; instances];
                self.some(instances, share).into_iter().for_each(|at| is_cut[at] = true);
                // Instances that hear of nothing at all are those that are cut from the others too.
                if together {
                    let sides = is_cut.iter().map(|cut| u8::from(*cut)).collect();
                    self.add(now_ms, Action::Sides(sides));
                }
                self.add(now_ms, Action::CutFromStore(is_cut));
                let end_ms = now_ms + self.random.random_range(1_000..12_000);
                self.add(end_ms, Action::CutFromStore(vec![false; instances]));
                self.add(end_ms, Action::Sides(vec![0; instances]));
                end_ms + self.random.random_range(1_000..5_000)
            }
        }
    }

    pub fn apply_due(&mut self, versioned: &mut VersionedFleet) {
        while let Some(entry) = self.actions.first_entry()
            && entry.key().0 <= versioned.now_ms()
        {
            let action = entry.remove();
            if self.is_traced {
                println!("{}: {action:?}", versioned.now_ms());
            }
            match action {
                Action::AddEngine(software_version) => versioned.add_engine(software_version),
                Action::CutFromStore(is_cut) => {
                    disturb(versioned, |at, versioned| is_cut[at] != versioned.store.is_cut[at]);
                    versioned.store.is_cut = is_cut;
                }
                Action::DrainEngine(software_version) => {
                    if let Some(engine) = versioned.drain_engine(software_version) {
                        let end_ms = versioned.now_ms() + self.random.random_range(300..2_500);
                        self.add(end_ms, Action::EndEngine(engine));
                    }
                }
                Action::EndEngine(engine) => versioned.end_engine(engine),
                Action::GoOn(still) => still.into_iter().for_each(|at| versioned.go_on(at)),
                Action::Kill(killed) => killed.into_iter().for_each(|at| versioned.kill(at)),
                Action::Restart(restarted) => {
                    let down = |at: &usize| versioned.fleet.states[*at].is_none();
                    let restarted: Vec<usize> = restarted.into_iter().filter(down).collect();
                    restarted.into_iter().for_each(|at| versioned.restart(at));
                }
                Action::StandStill(still) => {
                    still.into_iter().for_each(|at| versioned.stand_still(at));
                }
                Action::Sides(sides) => {
                    disturb(versioned, |at, versioned| sides[at] != versioned.fleet.sides[at]);
                    versioned.fleet.sides = sides;
                }
            }
        }
        // An instance is disturbed for as long as it is cut off.
        disturb(versioned, |at, versioned| {
            versioned.fleet.sides[at] != 0
                || versioned.store.is_cut[at]
                || versioned.fleet.is_still[at]
        });
    }
}

fn disturb<F>(versioned: &mut VersionedFleet, is_disturbed: F)
where
    F: Fn(usize, &VersionedFleet) -> bool,
{
    for at in 0..versioned.fleet.states.len() {
        if is_disturbed(at, versioned) {
            versioned.disturb(at);
        }
    }
}
