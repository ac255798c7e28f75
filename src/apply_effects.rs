//! Carries out the effects of decisions, without blocking.

use std::sync::Arc;

use crate::control::EffectSink;
use crate::effect::Effect;
use crate::load_poller::LoadPoller;
use crate::metric::{Counter, Quantity};
use crate::peer_links::PeerLinks;
use crate::platform_watch::PlatformWatch;
use crate::runners::RunnerCommand;
use crate::serving_context::ServingContext;

/// Passes the effects of decisions to the components that carry them out.
pub struct EffectRouter {
    /// Polls model engines for their load.
    pub poller: LoadPoller,
    /// Links to other instances.
    pub peer_links: Arc<PeerLinks>,
    /// Watches the platform for new documents.
    pub platform_watch: Arc<PlatformWatch>,
    /// Gets a message when a planned stop is complete.
    pub stopped: flume::Sender<()>,
    /// State that the request threads share.
    pub context: Arc<ServingContext>,
}

impl EffectSink for EffectRouter {
    fn record_decision_time(&mut self, elapsed_us: u64) {
        self.context.telemetry.count(Counter::ControlDecisions, 1);
        self.context.telemetry.measure(Quantity::ControlDecisionUs, elapsed_us);
    }

    fn apply(&mut self, effect: Effect) {
        let runners = &self.context.runners;
        match effect {
            Effect::Answer { answer, sequence } => {
                runners.send_command(sequence, RunnerCommand::Answer(answer));
            }
            Effect::Cancel { sequence } => runners.send_command(sequence, RunnerCommand::Cancel),
            Effect::Cancelling { sequence } => {
                runners.send_command(sequence, RunnerCommand::Cancelling)
            }
            Effect::Count { amount, counter } => self.context.telemetry.count(counter, amount),
            Effect::Dispatch(dispatch) => {
                runners.send_command(dispatch.sequence, RunnerCommand::Dispatch(dispatch));
            }
            Effect::RemoveAnswer { sequence } => self.context.answer_logs.remove(sequence),
            Effect::Hop { ended_ms, hop, sequence, started_ms } => {
                runners.send_command(sequence, RunnerCommand::Hop { ended_ms, hop, started_ms });
            }
            Effect::JoinLocal { holder, sequence } => {
                runners.send_command(sequence, RunnerCommand::JoinLocal { holder });
            }
            Effect::JoinPeer { address, holder, key, sequence } => {
                runners.send_command(sequence, RunnerCommand::JoinPeer { address, holder, key });
            }
            Effect::Log { part, text } => log::info!(target: part, "{text}"),
            Effect::Measure { quantity, value } => {
                self.context.telemetry.measure(quantity, value);
            }
            Effect::PollLoad(targets) => self.poller.set_targets(targets),
            Effect::SendPeer { message, to } => self.peer_links.send(&to, message),
            Effect::SetPeers(peers) => self.peer_links.set_peers(peers),
            // The receiver may be gone already.
            Effect::Stopped => drop(self.stopped.send(())),
            Effect::WatchAfter { version } => self.platform_watch.set_version(version),
        }
    }
}
