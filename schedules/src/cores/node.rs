//! One simulated instance: its decision core, and its effects on callers and backend servers.

use std::net::SocketAddr;
use std::sync::Arc;

use bergamotspan::build_core::build_core;
use bergamotspan::core::Core;
use bergamotspan::effect::Effect;
use bergamotspan::event::Event;
use bergamotspan::name::Name;
use bergamotspan::now::Now;
use bergamotspan::parse_settings::parse_settings;
use bergamotspan::peer_message::PeerMessage;
use bergamotspan::scheduling::Progress;

use super::DEADLINE_MS;
use super::checker::{Checker, SendRecord};
use super::documents::{CLOCK_MARGIN_MS, KEY_LIFETIME_MS, name_of};

/// Action outside the instance that an effect requests.
pub enum ExternalAction {
    Dispatched(u64),
    JoinAt { address: SocketAddr, holder: Name, key: Name },
    Nothing,
    Send { message: PeerMessage, to: Name },
}

/// One simulated instance.
pub struct Node {
    core: Core,
    pub document_due_ms: Option<u64>,
    pub incarnation: u64,
    pub name: Name,
    pub paused_until_ms: u64,
    scheduled_progress: Vec<(u64, u64, Progress)>,
    pub sends: Vec<SendRecord>,
    started_ms: u64,
    stopped: bool,
    wall_clock_ms: u64,
}

impl Node {
    pub fn new(index: usize) -> Self {
        let name = name_of(index);
        Self {
            core: new_core(&name, 0),
            document_due_ms: None,
            incarnation: 0,
            name: name.into(),
            paused_until_ms: 0,
            scheduled_progress: Vec::new(),
            sends: Vec::new(),
            started_ms: 0,
            stopped: false,
            wall_clock_ms: 0,
        }
    }

    /// Starts a new incarnation without any state.
    pub fn boot(&mut self, now_ms: u64, start_wall_clock_ms: u64) {
        self.incarnation += 1;
        self.core = new_core(&self.name, self.incarnation);
        self.scheduled_progress.clear();
        self.sends.clear();
        self.paused_until_ms = 0;
        self.started_ms = now_ms;
        self.stopped = false;
        self.wall_clock_ms = start_wall_clock_ms + now_ms;
    }

    pub fn is_running(&self, now_ms: u64) -> bool {
        now_ms >= self.paused_until_ms && !self.stopped
    }

    pub fn has_stopped(&self) -> bool {
        self.stopped
    }

    /// Returns the name and incarnation as text.
    pub fn incarnation_id(&self) -> String {
        format!("{} {}", self.name, self.incarnation)
    }

    pub fn now(&self, now_ms: u64) -> Now {
        let monotonic_ms = now_ms - self.started_ms;
        Now { monotonic_ms, wall_clock_ms: self.wall_clock_ms + monotonic_ms }
    }

    pub fn decide(&mut self, now_ms: u64, event: Event) -> Vec<Effect> {
        let now = self.now(now_ms);
        self.core.decide(now, event)
    }

    pub fn add_join(&mut self) -> u64 {
        self.add_send(SendRecord::default())
    }

    pub fn add_request(&mut self, now_ms: u64, key: Option<Name>) -> u64 {
        self.add_send(SendRecord::request(now_ms + DEADLINE_MS, key))
    }

    pub fn schedule_progress(&mut self, at_ms: u64, sequence: u64, progress: Progress) {
        self.scheduled_progress.push((at_ms, sequence, progress));
    }

    /// Removes and returns the progress that the backend servers report by now.
    pub fn due_progress(&mut self, now_ms: u64) -> Vec<(u64, Progress)> {
        let (due, rest) = std::mem::take(&mut self.scheduled_progress)
            .into_iter()
            .partition(|(at, ..)| *at <= now_ms);
        self.scheduled_progress = rest;
        due.into_iter()
            .map(|(_, sequence, progress): (u64, u64, Progress)| (sequence, progress))
            .collect()
    }

    /// Applies an effect as the threads of an instance would.
    pub fn apply(&mut self, effect: Effect, checker: &mut Checker) -> ExternalAction {
        match effect {
            Effect::Answer { answer, sequence } => {
                checker.record_answer(self, sequence, Some(answer.outcome));
                ExternalAction::Nothing
            }
            Effect::Dispatch(dispatch) => {
                checker.record_dispatch(self, dispatch.sequence);
                ExternalAction::Dispatched(dispatch.sequence)
            }
            Effect::RemoveAnswer { sequence } => {
                if let Some(send) = self.send_mut(sequence) {
                    send.answer_kept = false;
                }
                ExternalAction::Nothing
            }
            Effect::Cancelling { sequence } | Effect::JoinLocal { sequence, .. } => {
                checker.record_answer(self, sequence, None);
                ExternalAction::Nothing
            }
            Effect::JoinPeer { address, holder, key, sequence } => {
                checker.record_answer(self, sequence, None);
                ExternalAction::JoinAt { address, holder, key }
            }
            Effect::SendPeer { message, to } => ExternalAction::Send { message, to },
            Effect::Stopped => {
                self.stopped = true;
                ExternalAction::Nothing
            }
            _ => ExternalAction::Nothing,
        }
    }

    pub fn send_mut(&mut self, sequence: u64) -> Option<&mut SendRecord> {
        self.sends.get_mut(usize::try_from(sequence).ok()?.checked_sub(1)?)
    }

    /// Returns the number of requests of the core that have not ended.
    pub fn open_requests(&self, now_ms: u64) -> u32 {
        let counts = self.core.status(self.now(now_ms)).requests;
        counts.running + counts.waiting
    }

    /// Returns the number of keys that the core remembers as their home.
    pub fn remembered_keys(&self, now_ms: u64) -> u32 {
        self.core.status(self.now(now_ms)).keys.remembered
    }

    fn add_send(&mut self, send: SendRecord) -> u64 {
        self.sends.push(send);
        self.sends.len() as u64
    }
}

fn new_core(name: &str, incarnation: u64) -> Core {
    let text = format!(
        "[instance]\nname = {name}\ndata_centre = dc-a\n\
         [caller]\nlisten_address = 127.0.0.1:0\n\
         [keys]\nclock_margin_ms = {CLOCK_MARGIN_MS}\ngrant_limit_ms = 500\nlifetime_ms = {KEY_LIFETIME_MS}\n\
         [peer]\nlisten_address = 127.0.0.1:0\nconfirmation_window_ms = 600\n\
         heartbeat_interval_ms = 100\n\
         [platform]\naddress = 127.0.0.1:1\n\
         [shutdown]\ndrain_limit_ms = 3000\n"
    );
    let settings = Arc::new(parse_settings("settings", &text).unwrap());
    build_core(settings, incarnation, Now::default())
}
