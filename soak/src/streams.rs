//! Streams with the tries of their callers, and the rules that hold over all tries.

use std::collections::BTreeMap;
use std::fmt;

use crate::Name;
use crate::checker::{Checker, ReportedOutcome, Run};

/// One event as a caller received it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReceivedEvent {
    /// Number of the event.
    pub number: u64,
    /// Software version of the backend server that wrote it.
    pub version: Name,
}

/// One request of a caller for a stream, from its beginning or from an event on.
#[derive(Clone, Debug)]
pub struct Try {
    /// Number of the last event that the caller had received; 0 if it had none.
    pub after: u64,
    /// Events that the caller received whole.
    pub events: Vec<ReceivedEvent>,
    /// Id of the request.
    pub id: String,
    /// Outcome as its caller saw it.
    pub outcome: ReportedOutcome,
    /// Reason of a refusal, as the instance told it.
    pub refusal: Option<Name>,
}

/// Numbers of streams that their callers took up after a break.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StreamCounts {
    /// Streams that got no event after the break although no last try was refused.
    pub broken: usize,
    /// Streams that their callers received to the end.
    pub completed: usize,
    /// Streams that went on with at least one event.
    pub gone_on: usize,
    /// Streams whose last try was refused, by reason.
    pub refused: BTreeMap<Name, usize>,
    /// All streams that were taken up.
    pub taken_up: usize,
}

impl StreamCounts {
    /// Adds the numbers of another trial.
    pub fn add(&mut self, other: &Self) {
        self.broken += other.broken;
        self.completed += other.completed;
        self.gone_on += other.gone_on;
        self.taken_up += other.taken_up;
        for (reason, count) in &other.refused {
            *self.refused.entry(reason.clone()).or_default() += count;
        }
    }

    fn count(&mut self, tries: &[Try]) {
        let [_, resumes @ .., last] = tries else { return };
        self.taken_up += 1;
        if resumes.iter().chain([last]).any(|resume| !resume.events.is_empty()) {
            self.gone_on += 1;
            self.completed += usize::from(last.outcome == ReportedOutcome::Served);
        } else if let Some(reason) = &last.refusal {
            *self.refused.entry(reason.clone()).or_default() += 1;
        } else {
            self.broken += 1;
        }
    }
}

impl fmt::Display for StreamCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { broken, completed, gone_on, refused, taken_up } = self;
        write!(
            formatter,
            "{taken_up} streams taken up: {gone_on} went on ({completed} to the end), {} refused",
            refused.values().sum::<usize>()
        )?;
        if !refused.is_empty() {
            let reasons: Vec<_> =
                refused.iter().map(|(reason, count)| format!("{reason} {count}")).collect();
            write!(formatter, " ({})", reasons.join(", "))?;
        }
        write!(formatter, ", {broken} broken again")
    }
}

impl Checker {
    /// Returns the numbers of streams that were taken up.
    pub fn stream_counts(&self) -> StreamCounts {
        let mut counts = StreamCounts::default();
        self.streams.values().for_each(|tries| counts.count(tries));
        counts
    }

    /// Returns a message for each rule of streams that is broken.
    pub(crate) fn stream_findings(&self) -> Vec<String> {
        let mut findings = Vec::new();
        for (id, tries) in &self.streams {
            let mut next = 1;
            for resume in tries {
                for event in &resume.events {
                    if event.number != next {
                        let number = event.number;
                        findings.push(format!(
                            "{id} received event {number} in place of {next} with {}: {tries:?}",
                            resume.id
                        ));
                    }
                    next = event.number + 1;
                }
            }
            let Some(first) = tries.iter().flat_map(|resume| &resume.events).next() else {
                continue;
            };
            let version = &first.version;
            let mut events = tries.iter().flat_map(|resume| &resume.events);
            if let Some(other) = events.find(|event| event.version != *version) {
                findings.push(format!(
                    "{id} holds events of {version} and {}: {tries:?}",
                    other.version
                ));
            }
            let resumed = tries.iter().flat_map(|resume| self.runs_from_an_event(&resume.id));
            for run in resumed.filter(|run| run.version != *version) {
                let Run { after, at_ms, version: other, .. } = run;
                findings.push(format!(
                    "{id} of {version} was run from event {after} on at {other}, at {at_ms} ms: \
                     {tries:?}"
                ));
            }
        }
        findings
    }

    fn runs_from_an_event(&self, id: &str) -> impl Iterator<Item = &Run> {
        self.runs.get(id).into_iter().flatten().filter(|run| run.after > 0)
    }
}
