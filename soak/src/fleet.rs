//! Fleet of instances with the store and the backend servers around it.

use std::cell::{Cell, RefCell};
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::Name;
use crate::caller::{self, HOST, ReadyInstances, elapsed_ms};
use crate::checker::{COLD_MS, COLD_PER_S, Checker, FaultPeriod, Limit};
use crate::engine::EngineServer;
use crate::instance::{Instance, Ports};
use crate::proxy::Proxy;
use crate::store::Store;
use crate::trial::Setup;

/// Time between two checks of a condition that is waited for, in milliseconds.
pub(crate) const POLL_INTERVAL_MS: u64 = 50;
/// Key that is never revoked, of a customer without a limit.
pub(crate) const UNLIMITED_KEY: &str = "free-key";
/// Keys of a customer with a limit; they are revoked and restored.
pub(crate) const LIMITED_KEYS: [&str; 2] = ["limited-key-0", "limited-key-1"];
/// Longest time until all instances are ready, in milliseconds.
const READY_TIMEOUT_MS: u64 = 20_000;
/// Time between two rounds of readiness checks by the balancer, in milliseconds.
const BALANCER_INTERVAL_MS: u64 = 200;
/// Limit of the customer of the limited keys, in requests.
const CUSTOMER_LIMIT: Limit = Limit { burst: 40.0, per_s: 30.0 };
/// Software versions of backend servers.
const VERSIONS: [&str; 2] = ["v1", "v2"];

/// One backend server and the proxy in front of it.
pub(crate) struct Backend {
    /// Number of its start among those of all backend servers.
    born: Cell<u64>,
    id: RefCell<String>,
    /// Whether another one at another address took its place.
    pub(crate) is_replaced: Cell<bool>,
    number: usize,
    pub(crate) proxy: Proxy,
    pub(crate) server: EngineServer,
    version: Name,
}

pub(crate) struct Fleet {
    backend_starts: Cell<u64>,
    backends: RefCell<Vec<Rc<Backend>>>,
    pub(crate) breaks_streams: Rc<Cell<bool>>,
    pub(crate) instances: Vec<RefCell<Instance>>,
    pub(crate) checker: Rc<RefCell<Checker>>,
    pub(crate) ready: ReadyInstances,
    pub(crate) started: Instant,
    pub(crate) store: Store,
    pub(crate) store_proxies: Vec<Proxy>,
    pub(crate) revoked_keys: RefCell<Vec<&'static str>>,
    version: Cell<u64>,
}

impl Fleet {
    pub(crate) async fn start(setup: &Setup, directory: &Path) -> io::Result<Self> {
        let started = Instant::now();
        let checker = Rc::new(RefCell::new(Checker::default()));
        checker.borrow_mut().limits.insert("limited".to_owned(), CUSTOMER_LIMIT);
        let store = Store::default();
        let store_address = store.serve().await?;
        let ports = Ports::find()?;
        let (mut instances, mut store_proxies) = (Vec::new(), Vec::new());
        for number in 0..setup.instances {
            let proxy = Proxy::start(store_address).await?;
            let address = proxy.address;
            let instance = Instance::new(number, ports, address, setup, directory)?;
            instances.push(RefCell::new(instance));
            store_proxies.push(proxy);
        }
        let fleet = Self {
            backend_starts: Cell::default(),
            backends: RefCell::default(),
            breaks_streams: Rc::default(),
            instances,
            checker,
            ready: ReadyInstances::default(),
            started,
            store,
            store_proxies,
            revoked_keys: RefCell::default(),
            version: Cell::new(1),
        };
        for number in 0..setup.engines {
            let backend = fleet.start_backend(number, VERSIONS[0], false).await?;
            fleet.backends.borrow_mut().push(backend);
        }
        fleet.write_document();
        fleet.instances.iter().try_for_each(|instance| instance.borrow_mut().spawn())?;
        Ok(fleet)
    }

    /// Waits until all instances are ready; returns whether they are.
    pub(crate) async fn wait_until_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_millis(READY_TIMEOUT_MS);
        while self.ready.borrow().len() < self.instances.len() {
            if Instant::now() >= deadline {
                return false;
            }
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
        true
    }

    /// Returns the backend server at a place.
    pub(crate) fn backend(&self, number: usize) -> Rc<Backend> {
        self.backends.borrow()[number].clone()
    }

    async fn start_backend(
        &self,
        number: usize,
        version: &str,
        is_cold: bool,
    ) -> io::Result<Rc<Backend>> {
        let (born, id) = self.next_backend(number);
        let version = version.into();
        let (breaks_streams, checker) = (self.breaks_streams.clone(), self.checker.clone());
        let server = EngineServer::start(
            &id,
            &version,
            data_centre(number / 2),
            breaks_streams,
            checker,
            self.started,
        )
        .await?;
        if is_cold {
            server.turn_cold();
        }
        let proxy = Proxy::start(server.address).await?;
        let (born, id, is_replaced) = (Cell::new(born), RefCell::new(id), Cell::new(false));
        let backend = Backend { born, id, is_replaced, number, proxy, server, version };
        self.publish(&backend, "ready");
        Ok(Rc::new(backend))
    }

    fn next_backend(&self, number: usize) -> (u64, String) {
        let born = self.backend_starts.get();
        self.backend_starts.set(born + 1);
        (born, format!("e-{number}-{born}"))
    }

    /// Starts a backend server of another software version in the place of one.
    pub(crate) async fn replace_version(&self, backend: &Backend) -> io::Result<()> {
        let version = VERSIONS[usize::from(*backend.version == *VERSIONS[0])];
        backend.is_replaced.set(true);
        let started = self.start_backend(backend.number, version, true).await?;
        self.backends.borrow_mut()[backend.number] = started;
        Ok(())
    }

    /// Starts a backend server of the same version at the address of one that has ended.
    pub(crate) fn restart_backend(&self, backend: &Backend) {
        self.remove_backend(backend);
        let (born, id) = self.next_backend(backend.number);
        backend.born.set(born);
        backend.server.restart(&id);
        backend.server.turn_cold();
        *backend.id.borrow_mut() = id;
        self.publish(backend, "ready");
    }

    pub(crate) fn remove_backend(&self, backend: &Backend) {
        self.store.write(&format!("servers/{}", backend.id.borrow()), None);
    }

    pub(crate) fn publish(&self, backend: &Backend, state: &str) {
        let service = if backend.number.is_multiple_of(2) { "model" } else { "desk" };
        let record = json!({"service": service, "address": backend.proxy.address.to_string(),
            "zone": data_centre(backend.number / 2), "version": &*backend.version, "slots": 32, "state": state,
            "cold-left-ms": backend.server.cold_left_ms(), "seq": if state == "ready" { 1 } else { 2 },
            "born": 1_000 + backend.born.get()});
        self.store.write(&format!("servers/{}", backend.id.borrow()), Some(&record));
    }

    /// Writes the next document, with a route named after its version and without revoked keys.
    pub(crate) fn write_document(&self) {
        let version = self.version.get() + 1;
        self.version.set(version);
        // Every other document has shorter timeouts and smaller limits.
        let shorter = version % 2;
        let route = |name: &str, kind: &str, service: &str| {
            json!({"name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": kind,
                "timeout-ms": 3_000 - 400 * shorter, "goal-ms": 500, "priority": 1, "service": service,
                "attempts": 2, "gap-target-ms": 300, "stream-resume": kind == "stream"})
        };
        let revoked = self.revoked_keys.borrow();
        let keys: Vec<_> = LIMITED_KEYS.iter().filter(|key| !revoked.contains(key)).collect();
        let config: Value = json!({"version": version,
            "routes": [route("draft", "stream", "model"), route("booking", "unsafe", "desk"),
                route("status", "safe", "desk"), route(&version_route(version), "safe", "desk")],
            "services": [
                {"name": "model", "cold-s": COLD_MS as f64 / 1_000.0, "cold-per-s": COLD_PER_S,
                    "engine": {"slots": 32, "stride": 1}},
                {"name": "desk", "cold-s": COLD_MS as f64 / 1_000.0, "cold-per-s": COLD_PER_S}],
            "limits": {"max-header-bytes": 16_384 - 8_000 * shorter,
                "max-body-bytes": 10_000 - 9_000 * shorter,
                "header-timeout-ms": 3_000 - 2_000 * shorter,
                "idle-timeout-ms": 15_000 - 14_000 * shorter},
            "tenants": [{"name": "free", "api-keys": [UNLIMITED_KEY]},
                {"name": "limited", "api-keys": keys, "rate-per-s": CUSTOMER_LIMIT.per_s,
                    "burst": CUSTOMER_LIMIT.burst}]});
        self.store.write("op/config", Some(&config));
    }

    pub(crate) fn record_fault_period(&self, from_ms: u64, stopped_instance: Option<(usize, u64)>) {
        let until_ms = elapsed_ms(self.started);
        self.checker.borrow_mut().fault_periods.push(FaultPeriod {
            from_ms,
            until_ms,
            stopped_instance,
        });
    }

    /// Returns a finding for each instance and route whose answer does not follow the newest
    /// document.
    pub(crate) async fn outdated_instances(&self) -> Vec<String> {
        let version = self.version.get();
        let mut findings = Vec::new();
        for instance in &self.instances {
            let address = instance.borrow().caller_address();
            for (route, expected) in [
                (version_route(version), StatusCode::OK),
                (version_route(version.saturating_sub(1)), StatusCode::NOT_FOUND),
            ] {
                let status =
                    caller::probe(self.checker.clone(), address, &route, UNLIMITED_KEY).await;
                if status != Some(expected) {
                    findings
                        .push(format!("{address} answers {status:?} on {route}, not {expected}"));
                }
            }
        }
        findings
    }
}

/// Returns one of the two data centres; each has backend servers of both services.
pub(crate) fn data_centre(number: usize) -> &'static str {
    ["zone-0", "zone-1"][number % 2]
}

fn version_route(version: u64) -> String {
    format!("version-{version}")
}

/// Checks the readiness of each instance, as a load balancer does; after two failed checks in a row,
/// it is no longer a ready instance.
pub(crate) async fn poll_readiness(fleet: Rc<Fleet>) {
    let mut misses = vec![2_u32; fleet.instances.len()];
    loop {
        for (number, instance) in fleet.instances.iter().enumerate() {
            let address = instance.borrow().readiness_address();
            let ready = caller::is_ready(address).await;
            misses[number] = if ready { 0 } else { misses[number].saturating_add(1) };
        }
        let ready = fleet.instances.iter().enumerate().filter(|(number, _)| misses[*number] < 2);
        let ready = ready.map(|(number, instance)| {
            let instance = instance.borrow();
            (instance.caller_address(), number, instance.start_number)
        });
        *fleet.ready.borrow_mut() = ready.collect();
        sleep(Duration::from_millis(BALANCER_INTERVAL_MS)).await;
    }
}
