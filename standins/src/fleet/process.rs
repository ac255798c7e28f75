//! Child process of a fleet, its startup line and its log.

use std::fs::{self, File};
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::thread;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use serde::de::DeserializeOwned;

use super::error::FleetError;
use super::wait::wait_until;

/// Number of log lines included in an error.
const LOG_END_LINES: usize = 20;

/// Limit of the wait until a process prints its addresses.
const START_LIMIT_MS: u64 = 10_000;

/// A child process that is killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log_path: PathBuf,
    name: String,
}

impl Process {
    /// Starts a process and returns it with the first line that it printed, parsed as JSON.
    ///
    /// Its standard error is appended to the file `{name}.log` in `folder`.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't start or prints no valid line in time.
    pub fn start<T>(
        name: &str,
        command: &mut Command,
        folder: &Path,
    ) -> Result<(Self, T), FleetError>
    where
        T: DeserializeOwned,
    {
        let log_path = folder.join(format!("{name}.log"));
        let child = spawn(command, &log_path).map_err(|error| FleetError::io(name, error))?;
        let mut process = Self { child, log_path, name: name.to_owned() };
        let first_line = process.child.stdout.take().map(read_first_line);
        let limit = Duration::from_millis(START_LIMIT_MS);
        let line = first_line.and_then(|receiver| receiver.recv_timeout(limit).ok());
        match line.and_then(|line| serde_json::from_str(&line).ok()) {
            Some(value) => Ok((process, value)),
            None => {
                Err(FleetError::NoAddress { process: process.name.clone(), log: process.log() })
            }
        }
    }

    /// Returns its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the content of its standard error.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    /// Returns the last lines of its standard error.
    pub fn log_end(&self) -> String {
        let log = self.log();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(LOG_END_LINES)..].join("\n")
    }

    /// Returns whether it is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills it with SIGKILL and reaps it.
    pub fn kill(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Pauses it with SIGSTOP.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn stop(&mut self) -> Result<(), FleetError> {
        self.signal(Signal::STOP)
    }

    /// Resumes it with SIGCONT.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn cont(&mut self) -> Result<(), FleetError> {
        self.signal(Signal::CONT)
    }

    /// Sends SIGTERM and waits until it has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if it has ended before or does not end within `limit_ms` milliseconds.
    pub fn terminate(&mut self, limit_ms: u64) -> Result<ExitStatus, FleetError> {
        self.begin_terminate()?;
        self.wait(limit_ms)
    }

    /// Sends SIGTERM without waiting.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn begin_terminate(&mut self) -> Result<(), FleetError> {
        self.signal(Signal::TERM)
    }

    /// Waits until it has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not end within `limit_ms` milliseconds.
    pub fn wait(&mut self, limit_ms: u64) -> Result<ExitStatus, FleetError> {
        let mut status = None;
        wait_until(&format!("end of {}", self.name), limit_ms, || {
            status = self.child.try_wait().ok().flatten();
            status.is_some()
        })?;
        status.ok_or_else(|| self.ended_error())
    }

    fn ended_error(&self) -> FleetError {
        FleetError::ProcessEnded { name: self.name.clone() }
    }

    /// Sends a signal to the child. Its process id is not reused before it is reaped.
    fn signal(&mut self, signal: Signal) -> Result<(), FleetError> {
        if !self.is_running() {
            return Err(self.ended_error());
        }
        kill_process(Pid::from_child(&self.child), signal)
            .map_err(|error| FleetError::io(format!("signal to {}", self.name), error.into()))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(command: &mut Command, log_path: &Path) -> std::io::Result<Child> {
    let log = File::options().append(true).create(true).open(log_path)?;
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(log).spawn()
}

/// Reads the output of a process to its end and sends the first line to the returned receiver.
fn read_first_line(output: ChildStdout) -> flume::Receiver<String> {
    let (sender, receiver) = flume::bounded(1);
    thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            // Later lines are discarded.
            let _ = sender.try_send(line);
        }
    });
    receiver
}
