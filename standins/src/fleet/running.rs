//! A running fleet: access to its processes, its inventory and its instance list.

use std::net::{IpAddr, SocketAddr};

use serde_json::Value;
use socket2::Socket;
use tempfile::TempDir;

use super::builder::FleetBuilder;
use super::error::FleetError;
use super::http_client::{get_json, is_success, post_empty, put_json, put_text};
use super::inventory::{InstanceRow, InventoryDocument};
use super::process::Process;
use super::settings::SettingsDocument;
use super::start;
use super::wait::wait_until;
use crate::engine::EngineStatistics;
use crate::plain_service::Executions;
use crate::platform::{Counters, InstanceList, ListedInstance};

/// Subcommand of the stand-in for a model engine.
pub(super) const ENGINE: &str = "engine";

/// State of a listed instance or backend server that accepts work.
const LIVE: &str = "live";

/// A running instance of the daemon.
#[derive(Debug)]
pub struct RunningInstance {
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Loopback address that only this instance listens on and connects from.
    pub ip: IpAddr,
    /// Name.
    pub name: String,
    /// Address for other instances that bypasses the proxy.
    pub peer_address: SocketAddr,
    /// The process.
    pub process: Process,
    /// Settings used at a restart.
    pub settings: SettingsDocument,
}

/// A running engine or plain server.
#[derive(Debug)]
pub struct RunningBackend {
    /// Address that bypasses the proxy.
    pub address: SocketAddr,
    /// Name.
    pub name: String,
    /// Command-line options used at a restart.
    pub options: Vec<String>,
    /// The process.
    pub process: Process,
    /// Service that it belongs to.
    pub service: String,
    pub(super) _reservation: Socket,
    pub(super) verb: &'static str,
}

/// The running fault proxy.
#[derive(Debug)]
pub(super) struct Proxy {
    pub _process: Process,
    pub address: SocketAddr,
}

/// A running fleet; its processes are killed on drop.
#[derive(Debug)]
pub struct Fleet {
    /// Instances in the order of their start.
    pub instances: Vec<RunningInstance>,
    /// Engines and plain servers in the order of the services.
    pub backends: Vec<RunningBackend>,
    /// The platform.
    pub platform: Process,
    /// Address of the platform that bypasses the proxy.
    pub platform_address: SocketAddr,
    /// Inventory that the next [`Fleet::publish`] publishes.
    pub inventory: InventoryDocument,
    /// Instance list that the next [`Fleet::publish_list`] publishes.
    pub list: InstanceList,
    pub(super) folder: TempDir,
    pub(super) instances_started: u8,
    pub(super) proxied_peers: bool,
    pub(super) proxied_platform: bool,
    pub(super) proxy: Option<Proxy>,
    pub(super) published_instances: Vec<InstanceRow>,
    pub(super) settings: SettingsDocument,
}

impl Fleet {
    /// Returns a builder with default values.
    pub fn builder() -> FleetBuilder {
        FleetBuilder::default()
    }

    /// Returns the caller addresses of the instances.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|instance| instance.caller_address).collect()
    }

    /// Returns an instance by name.
    ///
    /// # Errors
    ///
    /// Returns an error if no instance has that name.
    pub fn instance(&mut self, name: &str) -> Result<&mut RunningInstance, FleetError> {
        let found = self.instances.iter_mut().find(|instance| instance.name == name);
        found.ok_or_else(|| FleetError::UnknownName { name: name.to_owned() })
    }

    /// Returns a backend server by name.
    ///
    /// # Errors
    ///
    /// Returns an error if no backend server has that name.
    pub fn backend(&mut self, name: &str) -> Result<&mut RunningBackend, FleetError> {
        let found = self.backends.iter_mut().find(|backend| backend.name == name);
        found.ok_or_else(|| FleetError::UnknownName { name: name.to_owned() })
    }

    /// Kills an instance and starts it again at the same addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if it is unknown or doesn't start.
    pub fn restart_instance(&mut self, name: &str) -> Result<(), FleetError> {
        let folder = self.folder.path().to_owned();
        start::restart_instance(self.instance(name)?, &folder)
    }

    /// Kills a backend server and starts it again at the same address.
    ///
    /// # Errors
    ///
    /// Returns an error if it is unknown or doesn't start.
    pub fn restart_backend(&mut self, name: &str) -> Result<(), FleetError> {
        let folder = self.folder.path().to_owned();
        start::restart_backend(self.backend(name)?, &folder)
    }

    /// Starts another instance and adds it to the inventory without publishing it.
    ///
    /// # Errors
    ///
    /// Returns an error if it doesn't start.
    ///
    /// # Panics
    ///
    /// Panics if more than 255 instances have been started.
    pub fn add_instance(&mut self, name: &str) -> Result<(), FleetError> {
        let ip = self.next_ip();
        let index = self.instances.len() % self.inventory.data_centres.len();
        let data_centre = self.inventory.data_centres[index].clone();
        let platform_address = match self.proxied_platform {
            true => self.add_route(&format!("platform-{name}"), self.platform_address)?,
            false => self.platform_address,
        };
        let mut settings = self.settings_of(name, &data_centre, ip);
        settings.set("platform", "address", platform_address);
        let (process, addresses) = start::start_daemon(name, &settings, self.folder.path())?;
        let peer_address = match self.proxied_peers {
            true => self.add_route(&format!("peer-{name}"), addresses.peer)?,
            false => addresses.peer,
        };
        self.inventory.instances.push(InstanceRow {
            name: name.to_owned(),
            data_centre,
            caller_address: addresses.caller,
            peer_address,
        });
        self.instances.push(RunningInstance {
            caller_address: addresses.caller,
            ip,
            name: name.to_owned(),
            peer_address: addresses.peer,
            process,
            settings,
        });
        Ok(())
    }

    /// Removes an instance from the inventory without publishing it or stopping its process.
    pub fn remove_from_inventory(&mut self, name: &str) {
        self.inventory.instances.retain(|row| row.name != name);
    }

    /// Publishes the inventory with the next version.
    ///
    /// The version of the instances is also incremented if their rows have changed.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform can't be reached.
    pub fn publish(&mut self) -> Result<(), FleetError> {
        self.inventory.version += 1;
        if self.published_instances != self.inventory.instances {
            self.inventory.instances_version += 1;
            self.published_instances.clone_from(&self.inventory.instances);
        }
        self.publish_text(&self.inventory.render())
    }

    /// Publishes a text unchanged as the configuration document.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform can't be reached or the text contains no version.
    pub fn publish_text(&self, text: &str) -> Result<(), FleetError> {
        put_text(self.platform_address, "/v1/admin/config", text)
    }

    /// Publishes the instance list, after adding missing instances and backend servers as `live`.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform can't be reached.
    pub fn publish_list(&mut self) -> Result<(), FleetError> {
        let instances = self.inventory.instances.iter().map(|row| &row.name);
        let backends = self.inventory.backend_servers.iter().map(|row| &row.name);
        for name in instances.chain(backends) {
            if !self.list.instances.iter().any(|listed| listed.name == *name) {
                self.list
                    .instances
                    .push(ListedInstance { name: name.clone(), state: LIVE.to_owned() });
            }
        }
        put_json::<_, Value>(self.platform_address, "/v1/admin/instances", &self.list)?;
        Ok(())
    }

    /// Sets the state of a listed name, `live` or `leaving`, and publishes the list.
    ///
    /// # Errors
    ///
    /// Returns an error if the name isn't listed or the platform can't be reached.
    pub fn set_listed_state(&mut self, name: &str, state: &str) -> Result<(), FleetError> {
        let found = self.list.instances.iter_mut().find(|listed| listed.name == name);
        let listed = found.ok_or_else(|| FleetError::UnknownName { name: name.to_owned() })?;
        state.clone_into(&mut listed.state);
        self.publish_list()
    }

    /// Waits until every instance is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if an instance is not ready within `limit_ms` milliseconds.
    pub fn wait_ready(&self, limit_ms: u64) -> Result<(), FleetError> {
        for instance in &self.instances {
            let ready = || is_success(instance.caller_address, "/readyz");
            wait_until("readiness", limit_ms, ready).map_err(|_| FleetError::NotReady {
                instance: instance.name.clone(),
                limit_ms,
                log: instance.process.log_end(),
            })?;
        }
        Ok(())
    }

    /// Returns the status page of an instance.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance is unknown or does not answer.
    pub fn status(&mut self, name: &str) -> Result<Value, FleetError> {
        get_json(self.instance(name)?.caller_address, "/status")
    }

    /// Requests that an instance drains.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance is unknown or does not answer.
    pub fn drain(&mut self, name: &str) -> Result<(), FleetError> {
        post_empty(self.instance(name)?.caller_address, "/drain")
    }

    /// Returns the counters of an engine.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine is unknown or does not answer.
    pub fn engine_statistics(&mut self, name: &str) -> Result<EngineStatistics, FleetError> {
        get_json(self.backend(name)?.address, "/v1/statistics")
    }

    /// Returns the execution counts of a plain server.
    ///
    /// # Errors
    ///
    /// Returns an error if the server is unknown or does not answer.
    pub fn plain_executions(&mut self, name: &str) -> Result<Executions, FleetError> {
        get_json(self.backend(name)?.address, "/v1/executions")
    }

    /// Returns how often all plain servers executed a key, including executions before a restart.
    ///
    /// # Errors
    ///
    /// Returns an error if a server doesn't answer.
    pub fn executions_of_key(&self, key: &str) -> Result<u64, FleetError> {
        let mut sum = 0;
        for backend in self.backends.iter().filter(|backend| backend.verb != ENGINE) {
            let executions: Executions = get_json(backend.address, "/v1/executions")?;
            sum += executions.keys.get(key).copied().unwrap_or(0);
        }
        Ok(sum)
    }

    /// Returns the counters of all engines, summed up.
    ///
    /// # Errors
    ///
    /// Returns an error if an engine doesn't answer.
    pub fn engine_totals(&self) -> Result<EngineStatistics, FleetError> {
        let mut sum = EngineStatistics::default();
        for backend in self.backends.iter().filter(|backend| backend.verb == ENGINE) {
            sum.merge(get_json(backend.address, "/v1/statistics")?);
        }
        Ok(sum)
    }

    /// Returns the call counters of the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub fn platform_counters(&self) -> Result<Counters, FleetError> {
        get_json(self.platform_address, "/v1/counters")
    }

    pub(super) fn proxy_address(&self) -> Result<SocketAddr, FleetError> {
        let proxy = self.proxy.as_ref();
        let unknown = || FleetError::UnknownName { name: "proxy".to_owned() };
        proxy.map(|proxy| proxy.address).ok_or_else(unknown)
    }

    /// Returns the loopback address of the next instance, 127.0.1.k.
    fn next_ip(&mut self) -> IpAddr {
        self.instances_started += 1;
        IpAddr::from([127, 0, 1, self.instances_started])
    }

    fn settings_of(&self, name: &str, data_centre: &str, ip: IpAddr) -> SettingsDocument {
        let mut settings = self.settings.clone();
        settings.set("instance", "name", name);
        settings.set("instance", "data_centre", data_centre);
        settings.set("caller", "listen_address", SocketAddr::new(ip, 0));
        settings.set("peer", "listen_address", SocketAddr::new(ip, 0));
        settings
    }
}
