//! Queries the status of every instance of the fleet, for the operators' program.

use std::net::SocketAddr;
use std::thread;

use crate::error::Error;
use crate::fleet_report::{FleetMember, FleetReport};
use crate::operator_client::OperatorClient;

/// Reads the list of instances from the instance at `address`, then queries all of them at once.
///
/// The report lists an instance that doesn't answer with the reason.
///
/// # Errors
///
/// Returns an error if the instance at `address` can't be reached, refuses, or sends an answer
/// that can't be read.
pub fn query_fleet(address: SocketAddr) -> Result<FleetReport, Error> {
    let status = OperatorClient::new(address).status()?;
    let peers: Vec<(String, SocketAddr)> =
        status.peers.iter().map(|peer| (peer.name.to_string(), peer.caller_address)).collect();
    let queried =
        FleetMember { address, error: None, name: status.instance.clone(), status: Some(status) };
    let mut instances = query_all(&peers);
    instances.push(queried);
    instances.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(FleetReport { instances })
}

fn query_all(peers: &[(String, SocketAddr)]) -> Vec<FleetMember> {
    thread::scope(|scope| {
        let threads: Vec<_> = peers
            .iter()
            .map(|(name, address)| scope.spawn(|| query_instance(name, *address)))
            .collect();
        threads.into_iter().filter_map(|thread| thread.join().ok()).collect()
    })
}

fn query_instance(name: &str, address: SocketAddr) -> FleetMember {
    let name = name.into();
    match OperatorClient::new(address).status() {
        Ok(status) => FleetMember { address, error: None, name, status: Some(status) },
        Err(error) => FleetMember { address, error: Some(error.to_string()), name, status: None },
    }
}
