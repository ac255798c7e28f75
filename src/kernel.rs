//! Starts the services of a process in order, gives them a registry to find each other by name, and
//! stops them in reverse order.

use std::any::Any;
use std::sync::Arc;

use crate::error::Error;

/// One service of the process.
pub trait Service {
    /// Returns the name of the service.
    fn name(&self) -> &'static str;

    /// Starts the service, which may look up values that earlier services registered and registers
    /// its own.
    ///
    /// # Errors
    ///
    /// Returns an error if the service can't start.
    fn start(&mut self, directory: &mut Directory) -> Result<(), Error>;

    /// Stops the service.
    fn stop(&mut self) {}
}

/// Registry of the values that services share, sorted by name.
#[derive(Default)]
pub struct Directory {
    entries: Vec<(&'static str, Arc<dyn Any + Send + Sync>)>,
}

/// Starts and stops services.
#[derive(Default)]
pub struct Kernel {
    directory: Directory,
    services: Vec<Box<dyn Service>>,
    started: usize,
}

impl Directory {
    /// Returns the value registered under a name.
    ///
    /// # Errors
    ///
    /// Returns an error if no `T` is registered under the name.
    pub fn find<T>(&self, name: &'static str) -> Result<Arc<T>, Error>
    where
        T: Any + Send + Sync,
    {
        self.entries
            .binary_search_by_key(&name, |(entry, _)| entry)
            .ok()
            .and_then(|index| self.entries[index].1.clone().downcast::<T>().ok())
            .ok_or(Error::ServiceMissing { name })
    }

    /// Registers a value under a name, in place of an earlier one.
    pub fn register<T>(&mut self, name: &'static str, value: Arc<T>)
    where
        T: Any + Send + Sync,
    {
        match self.entries.binary_search_by_key(&name, |(entry, _)| entry) {
            Ok(index) => self.entries[index].1 = value,
            Err(index) => self.entries.insert(index, (name, value)),
        }
    }
}

impl Kernel {
    /// Adds a service, to be started after those added before.
    pub fn add<S>(&mut self, service: S)
    where
        S: Service + 'static,
    {
        self.services.push(Box::new(service));
    }

    /// Returns the registry.
    pub fn directory(&mut self) -> &mut Directory {
        &mut self.directory
    }

    /// Starts all services in order; if one can't start, those before it are stopped.
    ///
    /// # Errors
    ///
    /// Returns the error of the service that can't start.
    pub fn start(&mut self) -> Result<(), Error> {
        while self.started < self.services.len() {
            let service = &mut self.services[self.started];
            log::debug!(target: "kernel", "Starting {}.", service.name());
            if let Err(error) = service.start(&mut self.directory) {
                self.stop();
                return Err(error);
            }
            self.started += 1;
        }
        Ok(())
    }

    /// Stops the started services in reverse order.
    pub fn stop(&mut self) {
        while self.started > 0 {
            self.started -= 1;
            let service = &mut self.services[self.started];
            log::debug!(target: "kernel", "Stopping {}.", service.name());
            service.stop();
        }
    }
}
