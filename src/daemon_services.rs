//! The services of the daemon: how each starts and which others it depends on.

use std::sync::Arc;

use crate::apply_effects::EffectRouter;
use crate::build_core::build_core;
use crate::caller_edge::{CallerEdge, UsageSources};
use crate::control::{ControlInput, ControlPeerSink, run_control};
use crate::control_platform_sink::ControlPlatformSink;
use crate::error::Error;
use crate::kernel::{Directory, Service};
use crate::load_poller::LoadPoller;
use crate::peer_links::PeerLinks;
use crate::peer_links_settings::PeerLinksSettings;
use crate::platform_watch::PlatformWatch;
use crate::serving_context::ServingContext;
use crate::settings::Settings;
use crate::usage_metrics::UsageMetrics;

pub(crate) const CALLER_EDGE: &str = "caller_edge";
pub(crate) const CONTROL: &str = "control";
pub(crate) const PEER_LINKS: &str = "peer_links";
pub(crate) const PLATFORM_WATCH: &str = "platform_watch";
pub(crate) const SERVING_CONTEXT: &str = "traffic";
pub(crate) const USAGE_METRICS: &str = "usage_metrics";

/// The interface for callers.
pub(crate) struct CallerEdgeService {
    pub(crate) edge: Option<Arc<CallerEdge>>,
}

/// The control thread.
pub(crate) struct ControlService {
    pub(crate) inputs: flume::Receiver<ControlInput>,
    pub(crate) incarnation: u64,
    pub(crate) stopped: flume::Sender<()>,
}

/// The links to other instances.
pub(crate) struct PeerLinksService {
    pub(crate) incarnation: u64,
    pub(crate) peer_links: Option<Arc<PeerLinks>>,
}

/// The watch of the platform.
pub(crate) struct PlatformWatchService;

/// The metrics of the links and of the watch.
pub(crate) struct UsageMetricsService;

fn find_context(directory: &Directory) -> Result<(Arc<ServingContext>, Arc<Settings>), Error> {
    let context = directory.find::<ServingContext>(SERVING_CONTEXT)?;
    let settings = context.settings.clone();
    Ok((context, settings))
}

impl Service for CallerEdgeService {
    fn name(&self) -> &'static str {
        CALLER_EDGE
    }

    fn start(&mut self, directory: &mut Directory) -> Result<(), Error> {
        let (context, _) = find_context(directory)?;
        let usage = UsageSources {
            peer_links: directory.find::<PeerLinks>(PEER_LINKS)?,
            platform_watch: directory.find::<PlatformWatch>(PLATFORM_WATCH)?,
        };
        let edge = Arc::new(CallerEdge::start(context, usage)?);
        directory.register(CALLER_EDGE, edge.clone());
        self.edge = Some(edge);
        Ok(())
    }

    fn stop(&mut self) {
        if let Some(edge) = self.edge.take() {
            edge.stop();
        }
    }
}

impl Service for ControlService {
    fn name(&self) -> &'static str {
        CONTROL
    }

    fn start(&mut self, directory: &mut Directory) -> Result<(), Error> {
        let (context, settings) = find_context(directory)?;
        let peer_links = directory.find::<PeerLinks>(PEER_LINKS)?;
        let platform_watch = directory.find::<PlatformWatch>(PLATFORM_WATCH)?;
        let clock = context.clock;
        let core = build_core(settings.clone(), self.incarnation, clock.now());
        let poller = LoadPoller::new(context.control.clone(), settings.dispatch.load_interval_ms);
        let stopped = self.stopped.clone();
        let inputs = self.inputs.clone();
        let mut router = EffectRouter { peer_links, platform_watch, poller, stopped, context };
        std::thread::Builder::new()
            .name(CONTROL.into())
            .spawn(move || run_control(clock, core, &inputs, &mut router))
            .map_err(|error| Error::io("Starting the control thread failed", error))?;
        Ok(())
    }
}

impl Service for PeerLinksService {
    fn name(&self) -> &'static str {
        PEER_LINKS
    }

    fn start(&mut self, directory: &mut Directory) -> Result<(), Error> {
        let (context, settings) = find_context(directory)?;
        let links_settings =
            PeerLinksSettings::builder(settings.instance.name.clone(), self.incarnation)
                .heartbeat_interval_ms(settings.peer.heartbeat_interval_ms)
                .listen_address(settings.peer.listen_address)
                .build();
        let sink = Arc::new(ControlPeerSink { control: context.control.clone() });
        let peer_links = Arc::new(PeerLinks::start(links_settings, sink)?);
        directory.register(PEER_LINKS, peer_links.clone());
        self.peer_links = Some(peer_links);
        Ok(())
    }

    /// Stops after the queued messages are written, since the last decisions, such as a handover
    /// of keys, still have to reach the other instances.
    fn stop(&mut self) {
        if let Some(peer_links) = self.peer_links.take() {
            peer_links.stop();
        }
    }
}

impl Service for PlatformWatchService {
    fn name(&self) -> &'static str {
        PLATFORM_WATCH
    }

    fn start(&mut self, directory: &mut Directory) -> Result<(), Error> {
        let (context, settings) = find_context(directory)?;
        let sink = Arc::new(ControlPlatformSink { control: context.control.clone() });
        let watch = PlatformWatch::start(&settings.platform, sink)?;
        directory.register(PLATFORM_WATCH, Arc::new(watch));
        Ok(())
    }
}

impl Service for UsageMetricsService {
    fn name(&self) -> &'static str {
        USAGE_METRICS
    }

    fn start(&mut self, directory: &mut Directory) -> Result<(), Error> {
        let (context, settings) = find_context(directory)?;
        let metrics = UsageMetrics {
            peer_links: directory.find::<PeerLinks>(PEER_LINKS)?,
            platform_watch: directory.find::<PlatformWatch>(PLATFORM_WATCH)?,
            telemetry: context.telemetry.clone(),
        };
        metrics.start(settings.telemetry.export_interval_ms);
        Ok(())
    }
}
