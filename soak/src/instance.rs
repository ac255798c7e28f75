//! One instance in its own process.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};

use crate::checker::{COLD_OVER, COLD_SLACK};
use crate::trial::Setup;

/// Ports that every instance uses on its own loopback address.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    /// Port for callers' requests.
    pub callers: u16,
    /// Port for operators and other instances.
    pub operators: u16,
    /// Port for datagrams of other instances.
    pub peers: u16,
    /// Port for readiness checks.
    pub readiness: u16,
}

impl Ports {
    /// Finds ports that are free now.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn find() -> io::Result<Self> {
        let tcp = || std::net::TcpListener::bind("127.0.0.1:0");
        let (callers, operators, readiness) = (tcp()?, tcp()?, tcp()?);
        let peers = std::net::UdpSocket::bind("127.0.0.1:0")?;
        Ok(Self {
            callers: callers.local_addr()?.port(),
            operators: operators.local_addr()?.port(),
            peers: peers.local_addr()?.port(),
            readiness: readiness.local_addr()?.port(),
        })
    }
}

/// One instance; dropping it ends its process.
pub struct Instance {
    /// Number of the latest start, counted from 1; 0 before the first start.
    pub start_number: u64,
    program: PathBuf,
    child: Option<Child>,
    directory: PathBuf,
    ip: String,
    number: usize,
    ports: Ports,
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Instance {
    /// Writes the settings of an instance without starting it.
    ///
    /// # Errors
    ///
    /// Returns an error if they cannot be written.
    pub fn new(
        number: usize,
        ports: Ports,
        store: SocketAddr,
        setup: &Setup,
        directory: &Path,
    ) -> io::Result<Self> {
        let ip = format!("127.0.0.{}", number + 2);
        let Ports { callers, operators, peers, readiness } = ports;
        let settings = format!(
            "node=front-{number}\nzone=zone-{}\nlisten.front={ip}:{callers}\n\
             listen.ready={ip}:{readiness}\nlisten.control={ip}:{operators}\n\
             port-range={peers},{peers}\nseeds=127.0.0.2:{operators},127.0.0.3:{operators}\n\
             bounds.revoke-strict=true\nbounds.revoke-ms=5000\nbounds.grace-s=8\n\
             bounds.drain-ms=2000\nbounds.config-apply-ms=2000\nbounds.cold-over={COLD_OVER}\n\
             bounds.cold-slack={COLD_SLACK}\nprovider.address={store}\n{}",
            number % 3,
            setup.settings.join("\n")
        );
        std::fs::write(directory.join(format!("{number}.conf")), settings)?;
        Ok(Self {
            program: setup.program.clone(),
            child: None,
            directory: directory.to_owned(),
            ip,
            number,
            ports,
            start_number: 0,
        })
    }

    /// Starts the process; each start has its own log file.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be started.
    pub fn spawn(&mut self) -> io::Result<()> {
        self.start_number += 1;
        let log = self.directory.join(format!("{}-{}.log", self.number, self.start_number));
        let settings = self.directory.join(format!("{}.conf", self.number));
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(settings)
            .stdout(File::create(log)?)
            .stderr(Stdio::inherit())
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns the address for callers.
    ///
    /// # Panics
    ///
    /// Never; the address is well formed.
    pub fn caller_address(&self) -> SocketAddr {
        format!("{}:{}", self.ip, self.ports.callers).parse().expect("a loopback address")
    }

    /// Returns the address for readiness checks.
    ///
    /// # Panics
    ///
    /// Never; the address is well formed.
    pub fn readiness_address(&self) -> SocketAddr {
        format!("{}:{}", self.ip, self.ports.readiness).parse().expect("a loopback address")
    }

    /// Returns whether the process has ended or was never started.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| child.try_wait().is_ok_and(|code| code.is_some()))
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(|child| Pid::from_raw(child.id().cast_signed()));
        if let Some(pid) = pid {
            // The process may have ended by itself.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have ended by itself.
            drop((child.kill(), child.wait()));
        }
    }
}
