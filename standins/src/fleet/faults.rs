//! Methods of a fleet that inject faults between its processes.

use std::net::IpAddr;

use serde::Serialize;
use serde_json::Value;

use super::error::FleetError;
use super::http_client::{post_json, put_json};
use super::running::Fleet;
use crate::platform::PlatformFaults;
use crate::proxy::{Fault, FaultMode};

#[derive(Serialize)]
struct Speed {
    speed: f64,
}

impl Fleet {
    /// Sets a fault of a proxy route: `peer-{instance}`, `backend-{server}` or
    /// `platform-{instance}`.
    ///
    /// # Errors
    ///
    /// Returns an error if the fleet has no proxy or the proxy has no such route.
    pub fn set_fault(&self, route: &str, fault: Fault) -> Result<(), FleetError> {
        put_json::<_, Value>(self.proxy_address()?, &format!("/v1/faults/{route}"), &fault)?;
        Ok(())
    }

    /// Sets a fault of the link between two instances; `pass` clears it.
    ///
    /// # Errors
    ///
    /// Returns an error if an instance is unknown or there is no proxy between the instances.
    pub fn fault_link(&mut self, a: &str, b: &str, mode: FaultMode) -> Result<(), FleetError> {
        let (ip_a, ip_b) = (self.instance(a)?.ip, self.instance(b)?.ip);
        self.set_fault(&format!("peer-{a}"), source_fault(mode, ip_b))?;
        self.set_fault(&format!("peer-{b}"), source_fault(mode, ip_a))
    }

    /// Sets a fault of every link between an instance and the others; `pass` clears it.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance is unknown or there is no proxy between the instances.
    pub fn fault_instance(&mut self, name: &str, mode: FaultMode) -> Result<(), FleetError> {
        let others = self.instances.iter().map(|instance| instance.name.clone());
        let others: Vec<String> = others.filter(|other| other != name).collect();
        others.iter().try_for_each(|other| self.fault_link(name, other, mode))
    }

    /// Sets a fault between an instance and the platform; `pass` clears it.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance is unknown or the platform has no proxy.
    pub fn fault_platform_link(&mut self, name: &str, mode: FaultMode) -> Result<(), FleetError> {
        let name = &self.instance(name)?.name;
        let route = format!("platform-{name}");
        self.set_fault(&route, Fault { mode, ..Fault::default() })
    }

    /// Sets a fault in front of a backend server; `pass` clears it.
    ///
    /// # Errors
    ///
    /// Returns an error if the backend server is unknown or has no proxy.
    pub fn fault_backend(&self, name: &str, mode: FaultMode) -> Result<(), FleetError> {
        self.set_fault(&format!("backend-{name}"), Fault { mode, ..Fault::default() })
    }

    /// Sets the faults of the platform itself.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform can't be reached.
    pub fn set_platform_faults(&self, faults: &PlatformFaults) -> Result<(), FleetError> {
        put_json::<_, Value>(self.platform_address, "/v1/admin/faults", faults)?;
        Ok(())
    }

    /// Changes the speed of an engine while it runs.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine is unknown or doesn't answer.
    pub fn set_engine_speed(&mut self, name: &str, speed: f64) -> Result<(), FleetError> {
        let address = self.backend(name)?.address;
        post_json::<_, Value>(address, "/v1/admin/speed", &Speed { speed })?;
        Ok(())
    }
}

fn source_fault(mode: FaultMode, source: IpAddr) -> Fault {
    Fault { mode, source: Some(source), ..Fault::default() }
}
