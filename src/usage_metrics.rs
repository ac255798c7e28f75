//! Records the bytes of the peer links and the reads of the platform watch as metrics.

use std::sync::Arc;
use std::time::Duration;

use crate::metric::Counter;
use crate::peer_links::PeerLinks;
use crate::platform_watch::PlatformWatch;
use crate::telemetry::Telemetry;

/// Records the counts of the peer links and the platform watch.
pub struct UsageMetrics {
    /// The links to other instances.
    pub peer_links: Arc<PeerLinks>,
    /// The watch of the platform.
    pub platform_watch: Arc<PlatformWatch>,
    /// Receives the counts.
    pub telemetry: Arc<dyn Telemetry>,
}

impl UsageMetrics {
    /// Records the increase of each count every `interval_ms` milliseconds on a thread of its own.
    pub fn start(self, interval_ms: u64) {
        std::thread::spawn(move || {
            let mut counted = [0; 3];
            loop {
                std::thread::sleep(Duration::from_millis(interval_ms));
                self.count(&mut counted);
            }
        });
    }

    fn count(&self, counted: &mut [u64; 3]) {
        let traffic = self.peer_links.traffic();
        let totals = [
            (Counter::PeerReceivedBytes, traffic.received_bytes),
            (Counter::PeerSentBytes, traffic.sent_bytes),
            (Counter::PlatformReads, self.platform_watch.reads()),
        ];
        for ((counter, total), counted) in totals.into_iter().zip(counted) {
            self.telemetry.count(counter, total - *counted);
            *counted = total;
        }
    }
}
