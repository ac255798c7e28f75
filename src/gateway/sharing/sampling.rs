//! Brings what an instance knows of its places to the queues of their services.

use crate::gateway::backend::SendOutcome;
use crate::gateway::request_queue::RequestQueue;
use crate::gateway::sharing::room_use::{PlaceSample, PlaceUse};
use crate::gateway::state::{GatewayState, entry_or_default};
use crate::name::Name;

impl GatewayState {
    /// Returns the queues of all services, with what is counted there.
    pub fn queues(&self) -> &[(Name, RequestQueue)] {
        &self.queues
    }

    /// Records the first event of a send of any instance.
    pub(crate) fn record_start(
        &mut self,
        backend_server: &str,
        tokens_ahead: u64,
        elapsed_ms: u64,
    ) {
        if let Some(queue) = self.queue_at(backend_server) {
            queue.record_start(tokens_ahead, elapsed_ms);
        }
    }

    /// Records that a place at a backend server came free.
    pub(crate) fn record_room_end(
        &mut self,
        now_ms: u64,
        backend_server: &Name,
        outcome: SendOutcome,
    ) {
        let Some(queue) = self.queue_at(backend_server) else { return };
        let is_contended = !queue.is_empty();
        queue.drain_mut().record_end(now_ms);
        let room = queue.room_mut();
        room.record_end(now_ms, backend_server, is_contended);
        room.given_back += u64::from(outcome == SendOutcome::Abandoned);
    }

    /// Adds what all places are held for to the sums.
    pub(crate) fn sample_room(&mut self, now_ms: u64) {
        let mut queues = std::mem::take(&mut self.queues);
        let mut samples = vec![PlaceSample::default(); queues.len()];
        let mut add = |backend_server: &str, place_use| {
            let service = self.backends.get(backend_server).map(|known| &known.record.service);
            let index =
                service.map(|service| queues.binary_search_by(|(name, _)| name.cmp(service)));
            if let Some(Ok(index)) = index {
                samples[index].add(place_use);
            }
        };
        for lease in self.fleet.leases.iter() {
            let place_use = match lease.unread_tokens {
                0 => PlaceUse::Streaming,
                _ if lease.is_reported => PlaceUse::Prefill,
                _ => PlaceUse::Granted,
            };
            add(&lease.backend_server, place_use);
        }
        for place in &self.fleet.own_places {
            let is_read = place.unread_tokens == 0;
            let place_use = if is_read { PlaceUse::Streaming } else { PlaceUse::Prefill };
            add(&place.backend_server, place_use);
        }
        for ((service, queue), mut places) in queues.iter_mut().zip(samples) {
            let is_contended = !queue.is_empty();
            if is_contended {
                places.free = self.backends.slots(now_ms, service).1 as u64;
            }
            queue.room_mut().sample(now_ms, places, is_contended);
        }
        self.queues = queues;
    }

    fn queue_at(&mut self, backend_server: &str) -> Option<&mut RequestQueue> {
        let service = &self.backends.get(backend_server)?.record.service;
        Some(entry_or_default(&mut self.queues, service))
    }
}
