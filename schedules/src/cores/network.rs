//! Simulated network between the cores: links break, delay messages or lose them in one direction.

use std::collections::{BTreeMap, BTreeSet};

use bergamotspan::peer_message::PeerMessage;
use rand::RngExt;
use rand::rngs::StdRng;

const MAX_DELAY_MS: u64 = 60;
const MAX_SLOW_DELAY_MS: u64 = 1_500;

/// One message in transit.
#[derive(Clone)]
pub struct SentMessage {
    pub from: usize,
    pub incarnation: u64,
    pub message: PeerMessage,
    pub to: usize,
}

/// Links and messages in transit, by time of arrival; each link keeps their order.
pub struct Network {
    count: u64,
    down: BTreeSet<(usize, usize)>,
    last_arrival_ms: Vec<Vec<u64>>,
    in_transit: BTreeMap<(u64, u64), SentMessage>,
    silent: BTreeSet<(usize, usize)>,
}

impl Network {
    pub fn new(count: usize) -> Self {
        Self {
            count: 0,
            down: BTreeSet::new(),
            last_arrival_ms: vec![vec![0; count]; count],
            in_transit: BTreeMap::new(),
            silent: BTreeSet::new(),
        }
    }

    pub fn schedule_delivery(&mut self, arrival_ms: u64, sent: SentMessage) {
        self.count += 1;
        self.in_transit.insert((arrival_ms, self.count), sent);
    }

    pub fn is_up(&self, a: usize, b: usize) -> bool {
        !self.down.contains(&(a.min(b), a.max(b)))
    }

    pub fn next_due(&mut self, now_ms: u64) -> Option<SentMessage> {
        let ((arrival_ms, _), _) = self.in_transit.first_key_value()?;
        if *arrival_ms > now_ms {
            return None;
        }
        self.in_transit.pop_first().map(|(_, sent)| sent)
    }

    /// Sends a message with a random delay, in order; on a silent or broken link it is lost.
    pub fn send(&mut self, now_ms: u64, sent: SentMessage, random: &mut StdRng) {
        let (from, to) = (sent.from, sent.to);
        if !self.is_up(from, to) || self.silent.contains(&(from, to)) {
            return;
        }
        let delay_limit_ms =
            if random.random_bool(0.02) { MAX_SLOW_DELAY_MS } else { MAX_DELAY_MS };
        let earliest_ms = self.last_arrival_ms[from][to];
        let arrival_ms = (now_ms + random.random_range(0..delay_limit_ms)).max(earliest_ms);
        self.last_arrival_ms[from][to] = arrival_ms;
        self.schedule_delivery(arrival_ms, sent);
    }

    /// Restores a link, or breaks it and drops its messages in transit.
    pub fn set_link(&mut self, a: usize, b: usize, up: bool) {
        let link = (a.min(b), a.max(b));
        if up {
            self.down.remove(&link);
            return;
        }
        self.down.insert(link);
        self.in_transit.retain(|_, sent| (sent.from.min(sent.to), sent.from.max(sent.to)) != link);
        self.last_arrival_ms[a][b] = 0;
        self.last_arrival_ms[b][a] = 0;
    }

    /// Removes and returns messages in transit from an instance, and drops those to it.
    pub fn take_outgoing(&mut self, index: usize) -> Vec<SentMessage> {
        let in_transit = std::mem::take(&mut self.in_transit).into_iter();
        let (own, others): (Vec<_>, Vec<_>) =
            in_transit.partition(|(_, sent)| sent.from == index || sent.to == index);
        self.in_transit = others.into_iter().collect();
        own.into_iter().map(|(_, sent)| sent).filter(|sent| sent.from == index).collect()
    }

    pub fn silence(&mut self, from: usize, to: usize, silent: bool) {
        if silent {
            self.silent.insert((from, to));
        } else {
            self.silent.remove(&(from, to));
        }
    }
}
