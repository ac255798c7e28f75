//! Starts and restarts the processes of a fleet.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;

use serde::{Deserialize, Serialize};
use socket2::{Domain, Socket, Type};
use tempfile::TempDir;

use super::binaries::{binary, standin};
use super::builder::{FleetBuilder, ServiceSpec};
use super::error::FleetError;
use super::http_client::put_json;
use super::inventory::{BackendServerRow, InventoryDocument, ServiceRow};
use super::process::Process;
use super::running::{ENGINE, Fleet, Proxy, RunningBackend, RunningInstance};
use super::settings::SettingsDocument;
use crate::platform::InstanceList;
use crate::process::Listening;

/// Line that a daemon prints when it listens.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(super) struct DaemonAddresses {
    pub caller: SocketAddr,
    pub peer: SocketAddr,
}

#[derive(Serialize)]
struct NewRoute {
    listen: SocketAddr,
    target: SocketAddr,
}

/// Starts all processes and publishes the inventory.
pub(super) fn start(builder: FleetBuilder) -> Result<Fleet, FleetError> {
    let folder = TempDir::new().map_err(|error| FleetError::io("temporary folder", error))?;
    let mut backends = Vec::new();
    for service in &builder.services {
        for number in 1..=service.count {
            backends.push(start_backend(service, number, folder.path())?);
        }
    }
    let (platform, platform_address) = start_standin("platform", folder.path())?;
    let mut fleet = Fleet {
        instances: Vec::new(),
        instances_started: 0,
        backends,
        platform,
        platform_address,
        proxy: start_proxy(&builder, folder.path())?,
        proxied_peers: builder.proxied_peers,
        proxied_platform: builder.proxied_platform,
        inventory: inventory(&builder),
        list: InstanceList::default(),
        published_instances: Vec::new(),
        settings: builder.settings.clone(),
        folder,
    };
    fleet.add_backend_rows(&builder)?;
    for number in 1..=builder.instances {
        fleet.add_instance(&format!("entry-{number}"))?;
    }
    fleet.publish()?;
    fleet.publish_list()?;
    Ok(fleet)
}

fn inventory(builder: &FleetBuilder) -> InventoryDocument {
    let services = builder.services.iter().map(|service| ServiceRow {
        name: service.name.clone(),
        model: service.model.clone(),
        idempotent: service.idempotent,
    });
    InventoryDocument {
        data_centres: builder.data_centres.clone(),
        services: services.collect(),
        tiers: builder.tiers.clone(),
        customers: builder.customers.clone(),
        rules: builder.rules.clone(),
        ..InventoryDocument::default()
    }
}

fn start_proxy(builder: &FleetBuilder, folder: &Path) -> Result<Option<Proxy>, FleetError> {
    if !(builder.proxied_backend_servers || builder.proxied_peers || builder.proxied_platform) {
        return Ok(None);
    }
    let (process, address) = start_standin("proxy", folder)?;
    Ok(Some(Proxy { _process: process, address }))
}

fn start_standin(verb: &str, folder: &Path) -> Result<(Process, SocketAddr), FleetError> {
    let (process, line): (_, Listening) = Process::start(verb, &mut standin(verb)?, folder)?;
    Ok((process, line.listening))
}

fn start_backend(
    service: &ServiceSpec,
    number: usize,
    folder: &Path,
) -> Result<RunningBackend, FleetError> {
    let name = format!("{}-{number}", service.name);
    let verb = if service.model.is_some() { ENGINE } else { "plain-service" };
    let mut options = service.options.clone();
    let own_options = service.server_options.iter().filter(|(found, _)| *found == number);
    options.extend(own_options.flat_map(|(_, options)| options.iter().cloned()));
    let journal = folder.join(format!("{name}.journal"));
    options.extend(["--journal".to_owned(), journal.display().to_string()]);
    let (reservation, address) = reserve_port()?;
    let mut command = standin(verb)?;
    command.args(&options).arg("--listen").arg(address.to_string());
    let (process, line): (_, Listening) = Process::start(&name, &mut command, folder)?;
    let service = service.name.clone();
    let address = line.listening;
    Ok(RunningBackend { address, name, options, process, _reservation: reservation, service, verb })
}

/// Binds a socket that never listens to a free port: while it is open, the system gives this port
/// to no one who asks for any port, also after the backend server that listens there has died.
fn reserve_port() -> Result<(Socket, SocketAddr), FleetError> {
    let any_address: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 0));
    let bind = || {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&any_address.into())?;
        let address = socket.local_addr()?.as_socket().unwrap_or(any_address);
        Ok((socket, address))
    };
    let failed = |source: io::Error| FleetError::Io { action: "reserving a port".into(), source };
    bind().map_err(failed)
}

/// Restarts a backend server at the same address.
pub(super) fn restart_backend(
    backend: &mut RunningBackend,
    folder: &Path,
) -> Result<(), FleetError> {
    backend.process.kill();
    let mut command = standin(backend.verb)?;
    command.args(&backend.options).arg("--listen").arg(backend.address.to_string());
    (backend.process, _) = Process::start::<Listening>(&backend.name, &mut command, folder)?;
    Ok(())
}

/// Writes the settings of a daemon and starts it; a port of 0 selects a free one.
pub(super) fn start_daemon(
    name: &str,
    settings: &SettingsDocument,
    folder: &Path,
) -> Result<(Process, DaemonAddresses), FleetError> {
    let path = folder.join(format!("{name}.ini"));
    fs::write(&path, settings.render()).map_err(|error| FleetError::io("settings", error))?;
    let mut command = Command::new(binary("bergamotspand")?);
    command.arg("--settings").arg(&path);
    Process::start(name, &mut command, folder)
}

/// Restarts a daemon at the same addresses.
pub(super) fn restart_instance(
    instance: &mut RunningInstance,
    folder: &Path,
) -> Result<(), FleetError> {
    instance.process.kill();
    instance.settings.set("caller", "listen_address", instance.caller_address);
    instance.settings.set("peer", "listen_address", instance.peer_address);
    (instance.process, _) = start_daemon(&instance.name, &instance.settings, folder)?;
    Ok(())
}

impl Fleet {
    /// Adds a route to the proxy and returns the address that it listens on.
    pub(super) fn add_route(
        &self,
        name: &str,
        target: SocketAddr,
    ) -> Result<SocketAddr, FleetError> {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let path = format!("/v1/routes/{name}");
        let line: Listening = put_json(self.proxy_address()?, &path, &NewRoute { listen, target })?;
        Ok(line.listening)
    }

    fn add_backend_rows(&mut self, builder: &FleetBuilder) -> Result<(), FleetError> {
        let data_centres = builder.data_centres.iter().cycle();
        let mut rows = Vec::new();
        for (backend, data_centre) in self.backends.iter().zip(data_centres) {
            let service = builder.services.iter().find(|service| service.name == backend.service);
            let address = match builder.proxied_backend_servers {
                true => self.add_route(&format!("backend-{}", backend.name), backend.address)?,
                false => backend.address,
            };
            rows.push(BackendServerRow {
                name: backend.name.clone(),
                service: backend.service.clone(),
                data_centre: data_centre.clone(),
                address,
                token_limit_tokens: service.and_then(|service| service.token_limit_tokens),
                prefill_tokens_per_s: service.and_then(|service| service.prefill_tokens_per_s),
                leaving: false,
                fencing: backend.options.iter().any(|option| option == "--fencing"),
            });
        }
        self.inventory.backend_servers = rows;
        Ok(())
    }
}
