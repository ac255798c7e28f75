//! Starts the services of a process in order, lets them find each other by name, and stops them in
//! reverse order.

use std::any::Any;
use std::sync::Arc;

use crate::error::Error;

/// One service of the process.
pub trait Service {
    /// Name under which the service is known.
    fn name(&self) -> &'static str;

    /// Starts the service, which may find those started before it and registers what it offers.
    ///
    /// # Errors
    ///
    /// Returns an error if the service can't start.
    fn start(&mut self, directory: &mut Directory) -> Result<(), Error>;

    /// Stops the service.
    fn stop(&mut self) {}
}

/// What services offer, sorted by name.
#[derive(Default)]
pub struct Directory {
    entries: Vec<(&'static str, Arc<dyn Any + Send + Sync>)>,
}

/// Runs services.
#[derive(Default)]
pub struct Kernel {
    directory: Directory,
    services: Vec<Box<dyn Service>>,
    started: usize,
}

impl Directory {
    /// Finds what a service offers.
    ///
    /// # Errors
    ///
    /// Returns an error if no service of that name offers a `T`.
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

    /// Registers what a service offers, in place of an earlier registration of the name.
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

    /// Returns what the services offer.
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
