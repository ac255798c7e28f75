//! Writes the log to standard output from its own thread, so that requests never wait for it.

use std::io::{Write, stdout};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use flume::{Receiver, Sender, bounded};
use logforth::append::Append;
use logforth::layout::JsonLayout;
use logforth::record::{Level, LevelFilter, Record};
use logforth::{Diagnostic, Layout, starter_log};

use crate::error::Error;

/// Lines that may wait to be written; further ones are dropped and counted.
const QUEUE_LIMIT_LINES: usize = 8_192;
/// Time between two writes, in milliseconds.
const WRITE_INTERVAL_MS: u64 = 250;
/// Maximum number of lines that are written in one second.
const MAX_LINES_PER_S: usize = 2_000;

/// Queues lines for the thread that writes them.
#[derive(Debug)]
struct QueueAppender {
    layout: JsonLayout,
    dropped: Arc<AtomicU64>,
    lines: Sender<Vec<u8>>,
}

impl Append for QueueAppender {
    fn append(
        &self,
        record: &Record,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<(), logforth::Error> {
        let mut line = self.layout.format(record, diagnostics)?;
        line.push(b'\n');
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        Ok(())
    }
}

/// Starts the log of the process.
///
/// # Errors
///
/// Returns [`Error::Io`] if the process already has a logger or no thread can be started.
pub(crate) fn start() -> Result<(), Error> {
    let (sender, receiver) = bounded(QUEUE_LIMIT_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let append = QueueAppender {
        layout: JsonLayout::default().timezone(jiff::tz::TimeZone::UTC),
        dropped: dropped.clone(),
        lines: sender,
    };
    starter_log::builder()
        .dispatch(|dispatch| {
            dispatch.filter(LevelFilter::MoreSevereEqual(Level::Info)).append(append)
        })
        .try_apply()
        .map_err(|error| {
            Error::io("Starting the log failed", std::io::Error::other(error.to_string()))
        })?;
    log::set_max_level(log::LevelFilter::Info);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&receiver, &dropped))
        .map_err(|error| Error::io("Starting the log thread failed", error))?;
    Ok(())
}

fn write_lines(lines: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let batch_lines = MAX_LINES_PER_S * WRITE_INTERVAL_MS as usize / 1_000;
    let mut batch = Vec::new();
    while let Ok(first) = lines.recv() {
        batch.extend(first);
        for line in lines.try_iter().take(batch_lines) {
            batch.extend(line);
        }
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            batch.extend(format!("{{\"level\":\"WARN\",\"target\":\"log\",\"message\":\"Log lines dropped because the log queue was full.\",\"kvs\":{{\"lines\":{dropped_lines}}}}}\n").bytes());
        }
        // There is nowhere else to report that standard output fails.
        let _ = stdout().write_all(&batch);
        batch.clear();
        thread::sleep(Duration::from_millis(WRITE_INTERVAL_MS));
    }
}
