//! Startup line and shutdown signal of a stand-in process.

use std::io::{self, Write};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// The line that a process prints when it listens.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Listening {
    /// Address bound by the process.
    pub listening: SocketAddr,
}

/// Prints the bound address and blocks until SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the output is closed or signals can't be received.
pub fn announce_and_wait(listening: SocketAddr) -> io::Result<()> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let mut out = io::stdout().lock();
    serde_json::to_writer(&mut out, &Listening { listening })?;
    writeln!(out)?;
    out.flush()?;
    drop(out);
    signals.forever().next();
    Ok(())
}
