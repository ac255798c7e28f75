//! Decides which connections of callers are kept when there are as many as there may be.

/// Time without progress after which a connection counts as standing still, in milliseconds.
const STALL_MS: u64 = 500;
/// Number of bytes of a body that counts as progress.
const PROGRESS_BYTES: usize = 4_096;

/// Identifies a connection.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ConnectionId(u64);

/// What a connection is at; the first ones give way first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ConnectionStage {
    /// No request has begun.
    Idle,
    /// A head has begun.
    Head,
    /// The caller takes no more bytes of its answer.
    Blocked,
    /// A body is arriving.
    Body,
    /// The request is being answered.
    Answering,
}

/// Next step for a connection that asks to be accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AcceptStep {
    /// It is accepted.
    Accept(ConnectionId),
    /// It is closed at once.
    Refuse,
    /// It is accepted in place of another one, which is closed.
    Replace {
        /// The new connection.
        accepted: ConnectionId,
        /// The connection that gives way.
        closed: ConnectionId,
    },
}

#[derive(Clone, Debug)]
struct Connection {
    id: ConnectionId,
    /// Bytes of a body since its last progress.
    moved_bytes: usize,
    since_ms: u64,
    stage: ConnectionStage,
}

impl Connection {
    /// Returns the stage as which it gives way to a new one, if it does: one that has just begun to
    /// be idle, or a head, may be about to send, like one whose body arrives.
    fn yielding_stage(&self, now_ms: u64) -> Option<ConnectionStage> {
        let has_stalled = now_ms.saturating_sub(self.since_ms) >= STALL_MS;
        match self.stage {
            ConnectionStage::Idle | ConnectionStage::Head if !has_stalled => {
                Some(ConnectionStage::Body)
            }
            ConnectionStage::Idle | ConnectionStage::Head | ConnectionStage::Body => {
                Some(self.stage)
            }
            ConnectionStage::Blocked => has_stalled.then_some(self.stage),
            ConnectionStage::Answering => None,
        }
    }
}

/// The connections at one address.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    /// Sorted by id.
    connections: Vec<Connection>,
    limit: usize,
    next_id: u64,
}

impl ConnectionTable {
    /// Creates a table of at most `limit` connections.
    pub fn new(limit: usize) -> Self {
        Self { connections: Vec::new(), limit, next_id: 0 }
    }

    /// Decides on a new connection.
    pub fn accept(&mut self, now_ms: u64) -> AcceptStep {
        if self.connections.len() < self.limit {
            return AcceptStep::Accept(self.add(now_ms));
        }
        let Some(closed) = self.victim(now_ms) else { return AcceptStep::Refuse };
        self.end(closed);
        AcceptStep::Replace { accepted: self.add(now_ms), closed }
    }

    /// Returns the number of connections.
    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// Removes a connection.
    pub fn end(&mut self, id: ConnectionId) {
        if let Ok(index) = self.index(id) {
            self.connections.remove(index);
        }
    }

    /// Records that bytes of a body have arrived.
    pub fn record_bytes(&mut self, now_ms: u64, id: ConnectionId, bytes: usize) {
        let Ok(index) = self.index(id) else { return };
        let connection = &mut self.connections[index];
        connection.moved_bytes += bytes;
        if connection.stage == ConnectionStage::Body && connection.moved_bytes >= PROGRESS_BYTES {
            connection.moved_bytes = 0;
            connection.since_ms = now_ms;
        }
    }

    /// Records what a connection is at.
    pub fn set_stage(&mut self, now_ms: u64, id: ConnectionId, stage: ConnectionStage) {
        let Ok(index) = self.index(id) else { return };
        let connection = &mut self.connections[index];
        if connection.stage != stage {
            (connection.stage, connection.since_ms) = (stage, now_ms);
            connection.moved_bytes = 0;
        }
    }

    fn add(&mut self, now_ms: u64) -> ConnectionId {
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let stage = ConnectionStage::Idle;
        self.connections.push(Connection { id, moved_bytes: 0, since_ms: now_ms, stage });
        id
    }

    fn index(&self, id: ConnectionId) -> Result<usize, usize> {
        self.connections.binary_search_by_key(&id, |connection| connection.id)
    }

    fn victim(&self, now_ms: u64) -> Option<ConnectionId> {
        let candidates = self.connections.iter().filter_map(|known| {
            known.yielding_stage(now_ms).map(|stage| (stage, known.since_ms, known.id))
        });
        candidates.min().map(|(.., id)| id)
    }
}
