//! Where instances keep by which software version streams were begun, and find it.
//!
//! While a service may have streams of several versions, an instance tells the origin of each stream
//! that may be resumed to a few others, its homes, by rendezvous hash over all instances. Where a
//! caller takes a stream up, that instance asks the same ones. While all streams of a service have
//! the same version nothing is told, and the version is that one.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::admission::{Refusal, RefusalReason, RequestPlan};
use crate::gateway::dispatching::StartedSend;
use crate::gateway::engine_query::VersionNeed;
use crate::gateway::fleet::membership::Fleet;
use crate::gateway::fleet::message::Body;
use crate::gateway::fleet::origin_message::{OriginAnswer, OriginAsk, ToldOrigin};
use crate::gateway::fleet::pending_origin::{OriginSource, PendingOrigin};
use crate::gateway::software_versions::PROOF_LIMIT_MS;
use crate::gateway::state::GatewayState;
use crate::gateway::store_updates::StateChange;
use crate::gateway::stream_origins::{StreamOrigin, stream_number};
use crate::name::Name;

/// Number of homes of a stream.
pub const HOMES: usize = 3;
/// Time after which a stream may be taken up again whose version no backend server has, in
/// milliseconds; a crashed one is back by then.
const RETRY_VERSION_MS: u64 = 1_000;
/// Most origins in one datagram.
const TOLD_CHUNK: usize = 500;

/// How the origin of a stream that a caller takes up is found.
#[derive(Clone, Debug)]
pub enum OriginLookup {
    /// Its homes are asked.
    Ask(OriginAsk, PendingOrigin),
    /// It is known here, by this source.
    Known(StreamOrigin, OriginSource),
}

impl GatewayState {
    /// Records that a stream began, or went on, with this send, and tells its homes.
    pub fn record_stream_start(
        &mut self,
        now_ms: u64,
        plan: &RequestPlan,
        started_send: &StartedSend,
    ) {
        let Some(software_version) = started_send.software_version.clone() else { return };
        let Some(stream) = stream_of(plan).filter(|_| plan.route.resumable) else { return };
        let origin = StreamOrigin { service: plan.service.clone(), software_version };
        let has_one = self.only_version(now_ms, &origin.service).is_some()
            && !self.versions.has_unused(now_ms, &origin.service);
        if !has_one {
            self.tell_homes(&[(stream, origin.clone())]);
        }
        self.origins.record(now_ms, stream, origin, true);
    }

    /// Returns the origin of a stream that a caller takes up, or whom to ask.
    pub fn look_up_origin(&mut self, now_ms: u64, plan: &RequestPlan) -> OriginLookup {
        let stream = stream_of(plan);
        if let Some(origin) = stream.and_then(|stream| self.origins.origin(stream)) {
            return OriginLookup::Known(origin.clone(), OriginSource::Own);
        }
        let only = self.only_origin(now_ms, &plan.service);
        if let Some(only) = only.as_ref().filter(|_| stream.is_none()) {
            return OriginLookup::Known(only.clone(), OriginSource::OnlyVersion);
        }
        let homes = self.fleet.homes(stream.unwrap_or(plan.fingerprint));
        let number = self.fleet.new_place_number();
        let ask = OriginAsk { number, service: plan.service.clone(), stream };
        OriginLookup::Ask(ask, PendingOrigin::new(number, homes, only))
    }

    /// Limits a request to the service and version that began its stream.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the route no longer allows the service that began it, or no backend
    /// server of its version is there.
    pub fn resume_at(&self, plan: &mut RequestPlan, origin: StreamOrigin) -> Result<(), Refusal> {
        let StreamOrigin { service, software_version } = origin;
        let is_allowed = plan.route.services.iter().any(|known| known.service == service);
        if !is_allowed || !self.versions.is_present(&service, &software_version) {
            let reason = RefusalReason::NoServerOfVersion;
            return Err(Refusal::retryable(reason, RETRY_VERSION_MS));
        }
        plan.service = service;
        plan.version_need = VersionNeed::Only(software_version);
        Ok(())
    }

    /// Records the versions of the backend servers that are present, and returns those that are held;
    /// homes learn of the streams of a service that has a new one, or may have had one while this
    /// instance heard of nothing.
    pub(crate) fn record_software_versions(&mut self, now_ms: u64) -> Vec<StateChange> {
        let present = self.backends.present_versions();
        let proof_age_ms = self.freshness.age_ms(now_ms).unwrap_or(now_ms);
        let proved_ms = now_ms.saturating_sub(proof_age_ms);
        let mut changed = self.versions.record(now_ms, proved_ms, &present);
        if self.may_lack_versions(now_ms) {
            changed = self.versions.record_gap(now_ms);
        }
        self.backends.hold_versions(&self.versions);
        if changed.is_empty() {
            return Vec::new();
        }
        let own = self.origins.own().filter(|(_, origin)| changed.contains(&origin.service));
        let own: Vec<_> = own.map(|(stream, origin)| (stream, origin.clone())).collect();
        self.tell_homes(&own);
        let held = self.versions.held_since(now_ms);
        held.map(|(service, software_version)| StateChange::VersionHeld {
            service: service.clone(),
            software_version: software_version.clone(),
        })
        .collect()
    }

    /// Returns whether a version could have begun streams and left since the last proof.
    pub(crate) fn may_lack_versions(&self, now_ms: u64) -> bool {
        !self.freshness.is_within(now_ms, PROOF_LIMIT_MS)
    }

    /// Tells the origins of all streams that began here, since a route moved to another service.
    pub(crate) fn tell_own_origins(&mut self) {
        let own = self.origins.own().map(|(stream, origin)| (stream, origin.clone()));
        let own: Vec<_> = own.collect();
        self.tell_homes(&own);
    }

    pub(crate) fn receive_origins(&mut self, now_ms: u64, told: Vec<ToldOrigin>) {
        for ToldOrigin { stream, service, software_version } in told {
            let origin = StreamOrigin { service, software_version };
            self.origins.record(now_ms, stream, origin, false);
        }
    }

    pub(crate) fn answer_origin_ask(&mut self, now_ms: u64, from: SocketAddr, ask: &OriginAsk) {
        let known = ask.stream.and_then(|stream| self.origins.origin(stream)).cloned();
        let is_only = known.is_none();
        let origin = known.or_else(|| self.only_origin(now_ms, &ask.service));
        let origin = origin.map(|origin| ToldOrigin {
            stream: ask.stream.unwrap_or_default(),
            service: origin.service,
            software_version: origin.software_version,
        });
        let answer = OriginAnswer { number: ask.number, origin, is_only };
        self.fleet.send(from, Body::Origin(answer));
    }

    fn only_origin(&self, now_ms: u64, service: &Name) -> Option<StreamOrigin> {
        if self.may_lack_versions(now_ms) {
            return None;
        }
        let software_version = self.only_version(now_ms, service)?.clone();
        Some(StreamOrigin { service: service.clone(), software_version })
    }

    fn only_version(&self, now_ms: u64, service: &str) -> Option<&Name> {
        let resumable_ms = self.origins.resumable_ms();
        let moved_ms = self.services_moved_ms.map(|moved_ms| now_ms.saturating_sub(moved_ms));
        if moved_ms.is_some_and(|elapsed_ms| elapsed_ms < resumable_ms) {
            return None;
        }
        self.versions.only(now_ms, service, resumable_ms)
    }

    fn tell_homes(&mut self, streams: &[(u64, StreamOrigin)]) {
        let mut by_home: Vec<(SocketAddr, Vec<ToldOrigin>)> = Vec::new();
        for (stream, origin) in streams {
            let told = ToldOrigin {
                stream: *stream,
                service: origin.service.clone(),
                software_version: origin.software_version.clone(),
            };
            for home in self.fleet.homes(*stream) {
                match by_home.binary_search_by_key(&home, |(known, _)| *known) {
                    Ok(index) => by_home[index].1.push(told.clone()),
                    Err(index) => by_home.insert(index, (home, vec![told.clone()])),
                }
            }
        }
        for (home, told) in by_home {
            for chunk in told.chunks(TOLD_CHUNK) {
                let body = Body::Origins(chunk.to_vec());
                self.fleet.send(home, body);
            }
        }
    }
}

impl Fleet {
    /// Returns the addresses of the homes of a stream, without this instance.
    pub(crate) fn homes(&self, stream: u64) -> Vec<SocketAddr> {
        let score = |name: &str| xxh3_64_with_seed(name.as_bytes(), stream);
        let others = self.roster.iter().filter(|known| !known.stopping);
        let others = others.map(|known| (score(&known.name), Some(known.address)));
        let mut best: Vec<(u64, Option<SocketAddr>)> = Vec::with_capacity(HOMES + 1);
        for candidate in others.chain([(score(&self.own_name), None)]) {
            let index = best.partition_point(|(score, _)| *score > candidate.0);
            if index < HOMES {
                best.insert(index, candidate);
                best.truncate(HOMES);
            }
        }
        best.into_iter().filter_map(|(_, address)| address).collect()
    }
}

/// Returns the number of the stream that a request begins or takes up; `None` if the caller did not
/// name it.
fn stream_of(plan: &RequestPlan) -> Option<u64> {
    let request_id = match &plan.resumption {
        Some(resumption) => resumption.first_request_id.as_ref()?,
        None => &plan.request_id,
    };
    let customer = plan.customer.as_ref().map(|customer| &*customer.name);
    (!request_id.is_empty()).then(|| stream_number(customer, request_id))
}
