//! Command that runs the fault proxy, with its options.

use std::io;
use std::net::SocketAddr;

use argh::FromArgs;

use super::endpoints::Proxy;
use crate::{http, process};

/// Runs a TCP proxy that injects faults.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "proxy")]
pub struct ProxyCommand {
    /// address of the HTTP endpoints for routes and faults
    #[argh(option, default = "([127, 0, 0, 1], 0).into()")]
    pub listen: SocketAddr,
}

impl ProxyCommand {
    /// Runs the proxy until SIGTERM.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn run(self) -> io::Result<()> {
        let listener = http::listen(self.listen)?;
        let address = listener.local_addr()?;
        let proxy = Proxy::default();
        http::serve(listener, move |request| proxy.answer(request))?;
        process::announce_and_wait(address)
    }
}
