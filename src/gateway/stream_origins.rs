//! By which software version streams were begun, so that they are resumed at no other one.

use std::collections::VecDeque;

use xxhash_rust::xxh3::Xxh3;

use crate::gateway::fleet::origin_message::ToldOrigin;
use crate::name::Name;

/// Number of generations; all but the newest cover the time for which a stream can be resumed.
const GENERATIONS: u64 = 9;
/// Shortest time that a generation covers, in milliseconds.
const MIN_GENERATION_MS: u64 = 1_000;
/// Maximum number of streams in one generation.
const GENERATION_LIMIT: usize = 8_192;

/// The backend servers that began a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamOrigin {
    /// Their service.
    pub service: Name,
    /// Version of their software.
    pub software_version: Name,
}

impl From<ToldOrigin> for StreamOrigin {
    fn from(told: ToldOrigin) -> Self {
        Self { service: told.service, software_version: told.software_version }
    }
}

/// Origins of the streams that began lately, here or at instances that told of them.
///
/// Streams are kept in generations, so that old ones are dropped together.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    generations: VecDeque<Generation>,
    /// Longest time for which a stream could be resumed so far, in milliseconds.
    resumable_ms: u64,
}

#[derive(Clone, Debug)]
struct Generation {
    started_ms: u64,
    /// Sorted by stream.
    streams: Vec<KnownStream>,
}

#[derive(Clone, Debug)]
struct KnownStream {
    is_own: bool,
    /// `None` if several were told.
    origin: Option<StreamOrigin>,
    stream: u64,
}

impl StreamOrigins {
    /// Sets for how long streams that begin from now on can be resumed, in milliseconds; the streams
    /// before may have more time.
    pub fn set_resumable_ms(&mut self, resumable_ms: u64) {
        self.resumable_ms = self.resumable_ms.max(resumable_ms);
    }

    /// Returns the longest time for which a known stream can be resumed, in milliseconds.
    pub fn resumable_ms(&self) -> u64 {
        self.resumable_ms
    }

    /// Records the origin of a stream; a stream with two origins counts as unknown.
    pub fn record(&mut self, now_ms: u64, stream: u64, origin: StreamOrigin, is_own: bool) {
        self.start_generation(now_ms);
        let known = self.get(stream).map(|known| (known.origin.clone(), known.is_own));
        let origin = match &known {
            Some((known, _)) => known.clone().filter(|known| *known == origin),
            None => Some(origin),
        };
        let is_own = is_own || known.is_some_and(|(_, is_own)| is_own);
        let Some(newest) = self.generations.back_mut() else { return };
        let known = KnownStream { is_own, origin, stream };
        match newest.find(stream) {
            Ok(index) => newest.streams[index] = known,
            Err(index) if newest.streams.len() < GENERATION_LIMIT => {
                newest.streams.insert(index, known);
            }
            Err(_) => {}
        }
    }

    /// Returns the origin of a stream.
    pub fn origin(&self, stream: u64) -> Option<&StreamOrigin> {
        self.get(stream)?.origin.as_ref()
    }

    /// Returns the streams that began at this instance.
    pub fn own(&self) -> impl Iterator<Item = (u64, &StreamOrigin)> {
        let streams = self.generations.iter().flat_map(|generation| &generation.streams);
        let own = streams.filter(|known| known.is_own);
        own.filter_map(|known| Some((known.stream, known.origin.as_ref()?)))
    }

    /// Returns the number of known streams.
    pub fn len(&self) -> usize {
        self.generations.iter().map(|generation| generation.streams.len()).sum()
    }

    /// Returns whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn get(&self, stream: u64) -> Option<&KnownStream> {
        let newest_first = self.generations.iter().rev();
        newest_first.filter_map(|generation| generation.get(stream)).next()
    }

    fn start_generation(&mut self, now_ms: u64) {
        let newest = self.generations.back();
        let generation_ms = (self.resumable_ms / (GENERATIONS - 1)).max(MIN_GENERATION_MS);
        if newest.is_none_or(|newest| now_ms >= newest.started_ms + generation_ms) {
            self.generations.push_back(Generation { started_ms: now_ms, streams: Vec::new() });
        }
        let kept_ms = generation_ms * GENERATIONS;
        self.generations.retain(|generation| now_ms < generation.started_ms + kept_ms);
    }
}

impl Generation {
    fn find(&self, stream: u64) -> Result<usize, usize> {
        self.streams.binary_search_by_key(&stream, |known| known.stream)
    }

    fn get(&self, stream: u64) -> Option<&KnownStream> {
        self.find(stream).ok().map(|index| &self.streams[index])
    }
}

/// Returns the number by which a stream is known, from the customer and the id of the request that
/// began it; a customer can't give its streams the numbers of another one's.
pub fn stream_number(customer: Option<&str>, request_id: &str) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(customer.unwrap_or_default().as_bytes());
    hash.update(&[0]);
    hash.update(request_id.as_bytes());
    hash.digest()
}
