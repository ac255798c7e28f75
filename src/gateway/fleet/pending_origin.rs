//! The next step of an instance that asks others by which software version a stream was begun.

use std::net::SocketAddr;

use crate::gateway::stream_origins::StreamOrigin;

/// Time for which answers are awaited before the silent instances are asked again, in milliseconds.
pub const PATIENCE_MS: u64 = 30;
/// Number of times that an instance is asked.
const ROUNDS: u32 = 2;

/// From where the origin of a stream is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OriginSource {
    /// Another instance knows it.
    Home,
    /// All streams of the service have the same version.
    OnlyVersion,
    /// It began here, or another instance told of it.
    Own,
}

impl OriginSource {
    /// Returns its name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::Home => "home",
            Self::OnlyVersion => "only_version",
            Self::Own => "own",
        }
    }
}

/// A question for the origin of a stream.
#[derive(Clone, Debug)]
pub struct PendingOrigin {
    /// Number of the question.
    pub number: u64,
    /// Origin that all streams of the service have, as far as this instance and others know.
    only: Option<StreamOrigin>,
    /// Whether instances disagree on the only version.
    only_is_disputed: bool,
    rounds: u32,
    /// Instances that have not answered.
    silent: Vec<SocketAddr>,
}

/// What follows an answer, or its absence.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OriginStep {
    /// These instances are asked.
    Ask(Vec<SocketAddr>),
    /// The stream has this origin.
    Found(StreamOrigin, OriginSource),
    /// No instance knows it.
    Unknown,
    /// Answers are awaited.
    Wait,
}

impl PendingOrigin {
    /// Returns a question to some instances; `only` counts if none of them knows the stream.
    pub fn new(number: u64, homes: Vec<SocketAddr>, only: Option<StreamOrigin>) -> Self {
        Self { number, only, only_is_disputed: false, rounds: 0, silent: homes }
    }

    /// Returns the step after an instance answered, with its source for the origin.
    pub fn on_answer(
        &mut self,
        from: SocketAddr,
        answer: Option<(StreamOrigin, OriginSource)>,
    ) -> OriginStep {
        self.silent.retain(|address| *address != from);
        match answer {
            Some((origin, OriginSource::OnlyVersion)) => self.add_only(origin),
            Some((origin, _)) => return OriginStep::Found(origin, OriginSource::Home),
            None => {}
        }
        if self.silent.is_empty() { self.conclude() } else { OriginStep::Wait }
    }

    /// Returns the first step, and the step after no answer came in time.
    pub fn on_silence(&mut self) -> OriginStep {
        if self.silent.is_empty() || self.rounds == ROUNDS {
            return self.conclude();
        }
        self.rounds += 1;
        OriginStep::Ask(self.silent.clone())
    }

    fn add_only(&mut self, origin: StreamOrigin) {
        self.only_is_disputed |= self.only.as_ref().is_some_and(|known| *known != origin);
        self.only = Some(origin);
    }

    fn conclude(&self) -> OriginStep {
        match &self.only {
            Some(only) if !self.only_is_disputed => {
                OriginStep::Found(only.clone(), OriginSource::OnlyVersion)
            }
            _ => OriginStep::Unknown,
        }
    }
}
