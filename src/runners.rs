//! The commands that the decision core gives to the threads that serve requests.

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
    /// Give this final answer.
    Answer(FinalAnswer),
    /// Stop the dispatched request.
    Cancel,
    /// Tell the caller that the request of its key is being cancelled.
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
    /// Answer from another request of this instance.
    JoinLocal {
        /// The other request.
        holder: u64,
    },
    /// Answer from another instance.
    JoinPeer {
        /// Caller address of that instance.
        address: SocketAddr,
        /// Id of the request that holds the key.
        holder: Name,
        /// The key.
        key: Name,
    },
}

/// The threads that serve requests, by the number of their request.
#[derive(Debug, Default)]
pub struct Runners {
    senders: Mutex<BTreeMap<u64, flume::Sender<RunnerCommand>>>,
}

impl Runners {
    /// Adds a thread and returns the commands to it.
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

    /// Gives a command to a thread; one that is gone misses nothing.
    pub fn send_command(&self, sequence: u64, command: RunnerCommand) {
        if let Some(sender) = self.lock().get(&sequence) {
            // The thread may have ended since.
            let _ = sender.send(command);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, flume::Sender<RunnerCommand>>> {
        self.senders.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
