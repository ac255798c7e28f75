//! The commands from the decision core to the threads that serve requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};

use crate::effect::Dispatch;
use crate::final_answer::FinalAnswer;
use crate::name::Name;
use crate::span_record::Hop;

/// A command to the thread that serves a request.
#[derive(Clone, Debug)]
pub enum RunnerCommand {
    /// Send this final answer.
    Answer(FinalAnswer),
    /// Cancel the dispatched request.
    Cancel,
    /// Answer that the request of the key is being cancelled.
    Cancelling,
    /// Send the request to a backend server.
    Dispatch(Dispatch),
    /// Record that a hop of the request ended.
    Hop {
        /// Monotonic time of its end, in milliseconds.
        ended_ms: u64,
        /// The hop.
        hop: Hop,
        /// Monotonic time of its start, in milliseconds.
        started_ms: u64,
    },
    /// Answer with the answer of another request of this instance.
    JoinLocal {
        /// Sequence number of the other request.
        holder: u64,
    },
    /// Answer with the answer of a request of another instance.
    JoinPeer {
        /// Caller address of that instance.
        address: SocketAddr,
        /// Id of the request that holds the key.
        holder: Name,
        /// The key.
        key: Name,
    },
}

/// The threads that serve requests, by the sequence number of their request.
#[derive(Debug, Default)]
pub struct Runners {
    senders: Mutex<BTreeMap<u64, flume::Sender<RunnerCommand>>>,
}

impl Runners {
    /// Adds a thread and returns the receiver of its commands.
    pub fn add(&self, sequence: u64) -> flume::Receiver<RunnerCommand> {
        let (sender, receiver) = flume::unbounded();
        self.lock().insert(sequence, sender);
        receiver
    }

    /// Returns the number of threads.
    pub fn count(&self) -> usize {
        self.lock().len()
    }

    /// Removes a thread.
    pub fn remove(&self, sequence: u64) {
        self.lock().remove(&sequence);
    }

    /// Sends a command to a thread; does nothing if the thread has ended.
    pub fn send_command(&self, sequence: u64, command: RunnerCommand) {
        if let Some(sender) = self.lock().get(&sequence) {
            // The thread may have ended meanwhile.
            let _ = sender.send(command);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, flume::Sender<RunnerCommand>>> {
        self.senders.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
