//! The software versions that the backend servers of each service have had lately.
//!
//! A version that is new here takes no stream that may be resumed for a while. An instance whose
//! knowledge of the store is at most [`PROOF_LIMIT_MS`] old and that knows of one version alone can
//! therefore tell that no stream was begun at another one, without asking. Where a service becomes
//! known with several versions, as it does to an instance that starts, all but the one with the
//! eldest backend server count as new: others may not have heard of them yet.

use crate::name::Name;

/// Time for which a new version takes no streams that may be resumed, in milliseconds; longer than
/// [`PROOF_LIMIT_MS`].
pub const HOLD_MS: u64 = 3_000;
/// Oldest proof with which an instance relies on knowing all versions, in milliseconds.
pub const PROOF_LIMIT_MS: u64 = 2_500;

/// A version of present backend servers.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PresentVersion {
    /// Name of the service.
    pub service: Name,
    /// The version.
    pub software_version: Name,
    /// Start of the eldest of its backend servers, in Unix milliseconds, as far as it is published.
    pub born_ms: Option<u64>,
}

/// Versions that a service has, or had a while ago.
#[derive(Clone, Debug, Default)]
pub struct SoftwareVersions {
    /// Sorted by service.
    services: Vec<ServiceVersions>,
}

#[derive(Clone, Debug)]
struct ServiceVersions {
    /// Since when all its versions are known, in milliseconds of the boot clock.
    complete_since_ms: u64,
    /// When the service became known, in milliseconds of the boot clock.
    known_ms: u64,
    service: Name,
    versions: Vec<KnownVersion>,
}

#[derive(Clone, Debug)]
struct KnownVersion {
    /// Until when it takes no streams that may be resumed, in milliseconds of the boot clock.
    held_until_ms: u64,
    is_present: bool,
    /// When its last backend server was removed, in milliseconds of the boot clock.
    left_ms: u64,
    name: Name,
    /// Until when no instance can have begun a stream at it that may be resumed, in milliseconds of
    /// the boot clock.
    unused_until_ms: u64,
}

impl SoftwareVersions {
    /// Records the versions of all backend servers that are present; returns the services that have
    /// a version that is new. The versions before were all at `proved_ms`.
    pub fn record(&mut self, now_ms: u64, proved_ms: u64, present: &[PresentVersion]) -> Vec<Name> {
        for known in self.services.iter_mut().flat_map(|service| &mut service.versions) {
            if std::mem::take(&mut known.is_present) {
                known.left_ms = now_ms;
            }
        }
        let mut changed = Vec::new();
        for of_service in present.chunk_by(|left, right| left.service == right.service) {
            let Some(PresentVersion { service, .. }) = of_service.first() else { continue };
            let index = self.index_or_insert(now_ms, service);
            if self.services[index].record(now_ms, proved_ms, of_service) {
                changed.push(service.clone());
            }
        }
        changed
    }

    /// Records that versions may have come and gone unnoticed up to now; returns all services.
    pub fn record_gap(&mut self, now_ms: u64) -> Vec<Name> {
        let services = self.services.iter_mut();
        services
            .map(|known| {
                known.complete_since_ms = now_ms;
                known.service.clone()
            })
            .collect()
    }

    /// Returns the version of all streams of a service that can still be resumed, if there is only
    /// one; a stream can be resumed for `resumable_ms` after its start.
    pub fn only(&self, now_ms: u64, service: &str, resumable_ms: u64) -> Option<&Name> {
        let of_service = &self.services[self.find(service).ok()?];
        let since_ms = now_ms.checked_sub(resumable_ms)?;
        let is_recent = |known: &&KnownVersion| {
            now_ms >= known.unused_until_ms && (known.is_present || known.left_ms > since_ms)
        };
        let mut recent = of_service.versions.iter().filter(is_recent);
        let only = recent.next().filter(|_| recent.next().is_none())?;
        (of_service.complete_since_ms <= since_ms).then_some(&only.name)
    }

    /// Returns whether a service has a version at which no stream can have begun yet.
    pub fn has_unused(&self, now_ms: u64, service: &str) -> bool {
        let of_service = self.find(service).ok().map(|index| &self.services[index]);
        let mut versions = of_service.into_iter().flat_map(|known| &known.versions);
        versions.any(|known| now_ms < known.unused_until_ms)
    }

    /// Returns whether a backend server has a version.
    pub fn is_present(&self, service: &str, software_version: &str) -> bool {
        self.known(service, software_version).is_some_and(|known| known.is_present)
    }

    /// Returns until when a version takes no streams that may be resumed, in milliseconds of the
    /// boot clock.
    pub fn held_until_ms(&self, service: &str, software_version: &str) -> u64 {
        let known = self.known(service, software_version);
        known.map(|known| known.held_until_ms).unwrap_or_default()
    }

    /// Returns the services and versions that take no streams that may be resumed since this time, in
    /// milliseconds of the boot clock.
    pub fn held_since(&self, held_ms: u64) -> impl Iterator<Item = (&Name, &Name)> {
        self.services.iter().flat_map(move |of_service| {
            let versions = of_service.versions.iter();
            let held = versions.filter(move |known| known.held_until_ms == held_ms + HOLD_MS);
            held.map(|known| (&of_service.service, &known.name))
        })
    }

    /// Returns the number of present versions that take no streams that may be resumed.
    pub fn held_count(&self, now_ms: u64) -> usize {
        let versions = self.services.iter().flat_map(|of_service| &of_service.versions);
        versions.filter(|known| known.is_present && now_ms < known.held_until_ms).count()
    }

    fn known(&self, service: &str, software_version: &str) -> Option<&KnownVersion> {
        let of_service = &self.services[self.find(service).ok()?];
        of_service.versions.iter().find(|known| *known.name == *software_version)
    }

    fn find(&self, service: &str) -> Result<usize, usize> {
        self.services.binary_search_by(|known| (*known.service).cmp(service))
    }

    fn index_or_insert(&mut self, now_ms: u64, service: &Name) -> usize {
        self.find(service).unwrap_or_else(|index| {
            let known = ServiceVersions {
                complete_since_ms: now_ms,
                known_ms: now_ms,
                service: service.clone(),
                versions: Vec::new(),
            };
            self.services.insert(index, known);
            index
        })
    }
}

impl ServiceVersions {
    /// Records the present versions, and returns whether one is new.
    fn record(&mut self, now_ms: u64, proved_ms: u64, present: &[PresentVersion]) -> bool {
        let was_known = now_ms > self.known_ms;
        let eldest = if was_known { None } else { eldest(present) };
        // It was not there at the proof, and all instances hold it from when they hear of it.
        let unused_until_ms = if was_known { proved_ms + PROOF_LIMIT_MS } else { 0 };
        let mut has_new = false;
        for PresentVersion { software_version, .. } in present {
            let is_known = |known: &KnownVersion| known.name == *software_version;
            let known = self.versions.iter_mut().find(|known| is_known(known));
            if let Some(known) = known.filter(|known| now_ms < known.left_ms + HOLD_MS) {
                known.is_present = true;
                continue;
            }
            self.versions.retain(|known| !is_known(known));
            has_new = true;
            let is_eldest = eldest.is_some_and(|eldest| eldest == software_version);
            self.versions.push(KnownVersion {
                held_until_ms: if is_eldest { 0 } else { now_ms + HOLD_MS },
                is_present: true,
                left_ms: now_ms,
                name: software_version.clone(),
                unused_until_ms,
            });
        }
        has_new
    }
}

/// Returns the version with the eldest backend server; of several alike the first by name, so that all
/// instances choose the same one.
fn eldest(present: &[PresentVersion]) -> Option<&Name> {
    let eldest = present
        .iter()
        .min_by_key(|version| (version.born_ms.unwrap_or(u64::MAX), &version.software_version));
    eldest.map(|version| &version.software_version)
}
