//! The quarantine of prompt parts that crash engines.
//!
//! An engine ends as it begins to answer on such a part. So a crash counts against the shared parts
//! of those requests of whose answers no event had arrived, and the first event of an answer proves
//! all parts of its prompt sound, for crashes up to [`PROOF_MS`] later. Both kinds of evidence are
//! facts with a time that instances exchange and merge in any order, and what follows from them is
//! computed anew each time, so that a wrong verdict ends with the first proof against it.

use std::collections::{BTreeMap, BTreeSet};

use crate::gateway::fleet::part_evidence::{PartEvidence, ProvedPart, ReportedPartCrash};
use crate::gateway::part_stage::{PartChange, PartStage, PartStanding};
use crate::gateway::recent_parts::RecentParts;
use crate::gateway::unconfirmed_sends::UnconfirmedSends;
use crate::name::Name;
use crate::quarantine::SAME_CRASH_MS;

/// Time for which an event proves the parts of its prompt sound, in milliseconds.
pub const PROOF_MS: u64 = 10_000;
/// Number of crashes after which a part is quarantined.
pub const QUARANTINE_CRASHES: usize = 2;
/// Time after the last crash for which a part is quarantined, in milliseconds; it doubles with each
/// further crash.
pub const HOLD_MS: u64 = 20_000;
/// Maximum number of doublings of that time.
const MAX_HOLD_DOUBLINGS: usize = 5;
/// Time for which a crash is kept if no part is quarantined for it, in milliseconds.
const CRASH_EXPIRY_MS: u64 = 60_000;
/// Time for which a crash is kept that a quarantine rests on, in milliseconds.
const QUARANTINE_EXPIRY_MS: u64 = 1_800_000;
/// Maximum number of crashes that are kept.
pub const CRASH_LIMIT: usize = 64;
/// Maximum number of crashes in one report.
pub const REPORTED_CRASH_LIMIT: usize = 16;
/// Maximum number of different prompts that are kept of one crash.
const PROMPT_LIMIT: usize = 16;
/// Maximum number of parts that are considered of one prompt.
const PART_LIMIT: usize = 16;
/// Maximum number of proofs in one report.
const REPORTED_PROOF_LIMIT: usize = 128;
/// Time for which reports repeat changed evidence, in milliseconds.
const REPEAT_MS: u64 = 1_500;

/// A crash of an engine, with the shared parts of the prompts it had not begun to answer.
#[derive(Clone, Debug, Eq, PartialEq)]
struct PartCrash {
    backend_server: Name,
    crashed_ms: u64,
    /// Most crashes that count against any of its parts.
    most_crashes: usize,
    prompts: BTreeSet<Vec<u64>>,
}

/// Evidence for and against prompt parts, and the stages that follow from it.
#[derive(Clone, Debug, Default)]
pub struct PartQuarantine {
    /// Parts that another instance counts a crash against and that are proved sound here, with the
    /// time of its report.
    answered: Vec<(u64, u64)>,
    /// When a crash was added or a stage changed, in milliseconds of the boot clock.
    changed_ms: Option<u64>,
    crashes: Vec<PartCrash>,
    /// Share of the hold by which this cell's quarantines end later, in thousandths.
    delay_permille: u64,
    /// When answers began on parts that occur in crashes, in milliseconds of the boot clock.
    proofs: Vec<(u64, u64)>,
    recent: RecentParts,
    /// Stages other than `Released`, sorted by part.
    stages: Vec<(u64, PartStage)>,
    /// Sends that failed before their first event, until the crash is known.
    unconfirmed: UnconfirmedSends,
}

impl PartQuarantine {
    /// Sets the place of this cell among all of them; quarantines end in one cell after the other,
    /// so that one request shows all cells whether a part still crashes engines.
    pub fn set_cell(&mut self, own: usize, count: usize) {
        self.delay_permille = (own * 1_000 / count.max(1)) as u64;
    }

    /// Records that the first event of an answer arrived whose prompt has these shared parts.
    pub fn record_event(&mut self, now_ms: u64, parts: &[u64]) -> Vec<PartChange> {
        let mut concerns_crash = false;
        for part in parts {
            self.recent.record(*part, now_ms);
            if let Ok(index) = self.find_proof(*part) {
                self.proofs[index].1 = self.proofs[index].1.max(now_ms);
                concerns_crash = true;
            }
        }
        if concerns_crash { self.update_stages(now_ms, None) } else { Vec::new() }
    }

    /// Records that a send failed before its first event whose prompt has these shared parts; whether
    /// its engine crashed is found out soon.
    pub fn record_failure(&mut self, now_ms: u64, backend_server: &Name, parts: &[u64]) {
        self.unconfirmed.record(now_ms, backend_server, considered(parts));
    }

    /// Returns whether a send with any of these parts failed so lately that a crash under it may not
    /// be known here yet.
    pub fn has_unconfirmed(&self, now_ms: u64, parts: &[u64]) -> bool {
        self.unconfirmed.has_any(now_ms, parts)
    }

    /// Records a crash under a request of whose answer no event had arrived.
    pub fn record_crash(
        &mut self,
        now_ms: u64,
        crashed_ms: u64,
        backend_server: &Name,
        parts: &[u64],
    ) -> Vec<PartChange> {
        self.add_crash(now_ms, crashed_ms, backend_server, parts);
        self.update_stages(now_ms, None)
    }

    /// Merges the evidence that another instance reports.
    pub fn merge(&mut self, now_ms: u64, from: &Name, evidence: &PartEvidence) -> Vec<PartChange> {
        if evidence.crashes.is_empty() && evidence.proofs.is_empty() {
            return Vec::new();
        }
        for crash in evidence.crashes.iter().take(REPORTED_CRASH_LIMIT) {
            let crashed_ms = now_ms.saturating_sub(crash.age_ms);
            for parts in crash.prompts.iter().take(PROMPT_LIMIT) {
                self.answer(now_ms, crashed_ms, parts, evidence);
                self.add_crash(now_ms, crashed_ms, &crash.backend_server, parts);
            }
        }
        for proof in evidence.proofs.iter().take(REPORTED_PROOF_LIMIT) {
            if let Ok(index) = self.find_proof(proof.part) {
                let proved_ms = now_ms.saturating_sub(proof.age_ms);
                self.proofs[index].1 = self.proofs[index].1.max(proved_ms);
            }
        }
        self.remove_expired(now_ms);
        self.update_stages(now_ms, Some(from))
    }

    /// Returns the evidence for a report to other instances, which is empty unless something
    /// changed lately or the report is a full one.
    pub fn evidence_for_report(&self, now_ms: u64, is_full: bool) -> PartEvidence {
        let changed = self.changed_ms.is_some_and(|changed_ms| now_ms < changed_ms + REPEAT_MS);
        if changed || is_full { self.evidence(now_ms) } else { PartEvidence::default() }
    }

    /// Returns the evidence for other instances: the crashes that quarantines rest on and the latest
    /// others, with the proofs that concern them.
    pub fn evidence(&self, now_ms: u64) -> PartEvidence {
        let (firm, others): (Vec<_>, Vec<_>) =
            self.crashes.iter().rev().partition(|crash| self.supports_quarantine(crash));
        let first = firm.into_iter().chain(others).take(REPORTED_CRASH_LIMIT);
        let crashes: Vec<_> = first
            .map(|crash| ReportedPartCrash {
                backend_server: crash.backend_server.clone(),
                age_ms: now_ms.saturating_sub(crash.crashed_ms),
                prompts: crash.prompts.iter().cloned().collect(),
            })
            .collect();
        let is_reported = |part: &u64| {
            crashes.iter().any(|crash| crash.prompts.iter().any(|prompt| prompt.contains(part)))
        };
        let concerned = self.proofs.iter().filter(|(part, _)| is_reported(part));
        let concerned = concerned.map(|(part, proved_ms)| (*part, *proved_ms));
        let answered = self.answered.iter().filter(|(part, _)| !is_reported(part));
        let answered = answered.filter_map(|(part, _)| Some((*part, self.recent.last_ms(*part)?)));
        let proofs = answered.chain(concerned).filter(|(_, proved_ms)| *proved_ms > 0);
        let proofs = proofs
            .take(REPORTED_PROOF_LIMIT)
            .map(|(part, proved_ms)| ProvedPart { part, age_ms: now_ms.saturating_sub(proved_ms) });
        PartEvidence { proofs: proofs.collect(), crashes }
    }

    /// Returns what is known of the shared parts of a prompt.
    pub fn standing(&self, now_ms: u64, parts: &[u64]) -> PartStanding {
        if self.crashes.is_empty() {
            return PartStanding::Unsuspected;
        }
        let parts = considered(parts);
        let mut suspected = Vec::new();
        for part in &parts {
            match self.verdict(now_ms, *part) {
                Verdict::Sound => {}
                Verdict::Suspected => suspected.push(*part),
                Verdict::Quarantined { until_ms } => {
                    // What always came with the part may have been the cause instead; a prompt
                    // without it tells the two apart.
                    if self.companions(*part).iter().all(|companion| parts.contains(companion)) {
                        return PartStanding::Quarantined { until_ms };
                    }
                    suspected.push(*part);
                }
            }
        }
        if suspected.is_empty() {
            PartStanding::Unsuspected
        } else {
            PartStanding::Suspected(suspected)
        }
    }

    /// Returns whether answers have begun on all these parts recently, as far as is known here.
    pub fn are_proved(&self, now_ms: u64, parts: &[u64]) -> bool {
        let since_ms = now_ms.saturating_sub(PROOF_MS);
        parts.iter().all(|part| self.recent.last_ms(*part).is_some_and(|last| last >= since_ms))
    }

    /// Removes expired crashes; returns the changes since the last call.
    pub fn expire(&mut self, now_ms: u64) -> Vec<PartChange> {
        self.answered.retain(|(_, heard_ms)| now_ms < heard_ms + REPEAT_MS);
        if self.crashes.is_empty() && self.stages.is_empty() {
            return Vec::new();
        }
        self.remove_expired(now_ms);
        self.update_stages(now_ms, None)
    }

    /// Notes which parts of a reported crash are proved sound here and not by the report, so that the
    /// next reports say so even if the crash itself has expired here.
    fn answer(&mut self, now_ms: u64, crashed_ms: u64, parts: &[u64], evidence: &PartEvidence) {
        let is_proof = |proved_ms: u64| proved_ms + PROOF_MS >= crashed_ms;
        for part in parts.iter().take(PART_LIMIT) {
            let told = evidence.proofs.iter().filter(|proof| proof.part == *part);
            let is_told = told.map(|proof| now_ms.saturating_sub(proof.age_ms)).any(is_proof);
            if is_told || !self.recent.last_ms(*part).is_some_and(is_proof) {
                continue;
            }
            self.answered.retain(|(known, _)| known != part);
            if self.answered.len() < REPORTED_PROOF_LIMIT {
                self.answered.push((*part, now_ms));
                self.changed_ms = Some(now_ms);
            }
        }
    }

    fn remove_expired(&mut self, now_ms: u64) {
        let before = self.crashes.len();
        let crashes = self.crashes.iter().filter(|crash| {
            let expiry_ms = match self.supports_quarantine(crash) {
                true => QUARANTINE_EXPIRY_MS,
                false => CRASH_EXPIRY_MS,
            };
            now_ms < crash.crashed_ms + expiry_ms
        });
        self.crashes = crashes.cloned().collect();
        if self.crashes.len() < before {
            self.drop_unused_proofs();
        }
    }

    fn supports_quarantine(&self, crash: &PartCrash) -> bool {
        self.most_crashes(crash) >= QUARANTINE_CRASHES
    }

    /// Returns the most crashes that count against any part of this one.
    fn most_crashes(&self, crash: &PartCrash) -> usize {
        let parts = crash.prompts.iter().flatten().filter(|part| self.counts(**part, crash));
        parts.map(|part| self.counted_crashes(*part).len()).max().unwrap_or_default()
    }

    fn add_crash(&mut self, now_ms: u64, crashed_ms: u64, backend_server: &Name, parts: &[u64]) {
        let parts = considered(parts);
        if parts.is_empty() {
            return;
        }
        self.unconfirmed.confirm(backend_server);
        for part in &parts {
            if let Err(index) = self.find_proof(*part) {
                let proved_ms = self.recent.last_ms(*part).unwrap_or_default();
                self.proofs.insert(index, (*part, proved_ms));
            }
        }
        let same = self.crashes.iter_mut().find(|known| {
            known.backend_server == *backend_server
                && known.crashed_ms.abs_diff(crashed_ms) < SAME_CRASH_MS
        });
        match same {
            Some(known) if known.prompts.len() == PROMPT_LIMIT => {}
            Some(known) => {
                if known.prompts.insert(parts) {
                    self.changed_ms = Some(now_ms);
                }
            }
            None => {
                let index = self.crashes.partition_point(|known| known.crashed_ms <= crashed_ms);
                let backend_server = backend_server.clone();
                let prompts = BTreeSet::from([parts]);
                self.crashes.insert(
                    index,
                    PartCrash { backend_server, crashed_ms, most_crashes: 0, prompts },
                );
                self.changed_ms = Some(now_ms);
            }
        }
        self.evict();
    }

    /// Removes the crash that counts least against any part if there are too many, and of several
    /// the oldest.
    fn evict(&mut self) {
        if self.crashes.len() <= CRASH_LIMIT {
            return;
        }
        let indices = 0..self.crashes.len();
        let least = indices.min_by_key(|index| self.most_crashes(&self.crashes[*index]));
        if let Some(index) = least {
            self.crashes.remove(index);
            self.drop_unused_proofs();
        }
    }

    fn drop_unused_proofs(&mut self) {
        let crashes = &self.crashes;
        self.proofs.retain(|(part, _)| {
            crashes.iter().any(|crash| crash.prompts.iter().any(|prompt| prompt.contains(part)))
        });
    }

    /// Returns whether no answer had begun on a part shortly before a crash, or since.
    fn counts(&self, part: u64, crash: &PartCrash) -> bool {
        let proved_ms = self.find_proof(part).map(|index| self.proofs[index].1).unwrap_or_default();
        proved_ms == 0 || proved_ms + PROOF_MS < crash.crashed_ms
    }

    fn counted_crashes(&self, part: u64) -> Vec<&PartCrash> {
        let has_part =
            |crash: &&PartCrash| crash.prompts.iter().any(|prompt| prompt.contains(&part));
        self.crashes.iter().filter(has_part).filter(|crash| self.counts(part, crash)).collect()
    }

    fn verdict(&self, now_ms: u64, part: u64) -> Verdict {
        let crashes = self.counted_crashes(part);
        if crashes.is_empty() {
            return Verdict::Sound;
        }
        // A crash is put down to the part that most crashes count against.
        let blamed = crashes.iter().filter(|crash| crash.most_crashes <= crashes.len());
        let blamed: Vec<_> = blamed.collect();
        let further = blamed.len().checked_sub(QUARANTINE_CRASHES);
        let (Some(last), Some(further)) = (blamed.last(), further) else {
            return Verdict::Suspected;
        };
        let hold_ms = HOLD_MS << further.min(MAX_HOLD_DOUBLINGS);
        let until_ms = last.crashed_ms + hold_ms + hold_ms * self.delay_permille / 1_000;
        if now_ms < until_ms { Verdict::Quarantined { until_ms } } else { Verdict::Suspected }
    }

    /// Returns the parts that were in each prompt which counts against a part, itself included, as
    /// far as they are not proved sound.
    fn companions(&self, part: u64) -> Vec<u64> {
        let crashes = self.counted_crashes(part);
        let mut prompts = crashes.iter().flat_map(|crash| {
            let with_part = crash.prompts.iter().filter(|prompt| prompt.contains(&part));
            with_part.map(|prompt| (*crash, prompt))
        });
        let Some((_, first)) = prompts.next() else { return Vec::new() };
        let mut companions = first.clone();
        for (_, prompt) in prompts {
            companions.retain(|companion| prompt.contains(companion));
        }
        companions.retain(|companion| crashes.iter().all(|crash| self.counts(*companion, crash)));
        companions
    }

    fn update_most_crashes(&mut self) {
        let counted = |crash: &PartCrash| {
            let parts = crash.prompts.iter().flatten().copied();
            parts.filter(|part| self.counts(*part, crash)).collect::<BTreeSet<u64>>()
        };
        let counted: Vec<_> = self.crashes.iter().map(counted).collect();
        let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
        for part in counted.iter().flatten() {
            *counts.entry(*part).or_default() += 1;
        }
        for (crash, parts) in self.crashes.iter_mut().zip(counted) {
            let of_parts = parts.iter().filter_map(|part| counts.get(part));
            crash.most_crashes = of_parts.copied().max().unwrap_or_default();
        }
    }

    fn update_stages(&mut self, now_ms: u64, from: Option<&Name>) -> Vec<PartChange> {
        self.update_most_crashes();
        let mut stages = Vec::new();
        for (part, _) in &self.proofs {
            match self.verdict(now_ms, *part) {
                Verdict::Sound => {}
                Verdict::Suspected => stages.push((*part, PartStage::Suspected)),
                Verdict::Quarantined { .. } => stages.push((*part, PartStage::Quarantined)),
            }
        }
        let before = std::mem::replace(&mut self.stages, stages);
        let mut parts: Vec<u64> =
            before.iter().chain(&self.stages).map(|(part, _)| *part).collect();
        parts.sort();
        parts.dedup();
        let changed = parts.into_iter().filter_map(|part| {
            let stage = stage_in(&self.stages, part);
            (stage != stage_in(&before, part)).then(|| self.change(part, stage, from))
        });
        let changed: Vec<_> = changed.collect();
        if !changed.is_empty() {
            self.changed_ms = Some(now_ms);
        }
        changed
    }

    fn change(&self, part: u64, stage: PartStage, from: Option<&Name>) -> PartChange {
        let crashes = self.counted_crashes(part);
        let backend_servers = crashes.iter().map(|crash| crash.backend_server.clone()).collect();
        PartChange { backend_servers, part, reported_by: from.cloned(), stage }
    }

    fn find_proof(&self, part: u64) -> Result<usize, usize> {
        self.proofs.binary_search_by_key(&part, |(known, _)| *known)
    }
}

/// What follows from the crashes that count against one part.
enum Verdict {
    Quarantined { until_ms: u64 },
    Sound,
    Suspected,
}

fn stage_in(stages: &[(u64, PartStage)], part: u64) -> PartStage {
    let index = stages.binary_search_by_key(&part, |(known, _)| *known);
    index.map(|index| stages[index].1).unwrap_or(PartStage::Released)
}

/// Returns the parts of a prompt that are considered, sorted.
fn considered(parts: &[u64]) -> Vec<u64> {
    let mut parts: Vec<u64> = parts.iter().take(PART_LIMIT).copied().collect();
    parts.sort();
    parts.dedup();
    parts
}
