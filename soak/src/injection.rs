//! Injection of the faults of a schedule into a fleet.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use rustix::process::Signal;
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};

use crate::Name;
use crate::caller::elapsed_ms;
use crate::checker::EVACUATE_MS;
use crate::crowd;
use crate::fleet::{Backend, Fleet, LIMITED_KEYS, POLL_INTERVAL_MS, data_centre};
use crate::instance::Instance;
use crate::proxy::Proxy;
use crate::schedule::{ConnectionFault, Fault, TimedFault};

/// Longest duration of a planned stop before the process is killed, in milliseconds.
const STOP_GRACE_MS: u64 = 8_000;
/// Time for which a draining backend server still serves, in milliseconds.
const DRAIN_MS: u64 = 2_500;

/// Injects a fault and waits until it has ended.
///
/// # Errors
///
/// Returns an error if a backend server cannot be started.
pub(crate) async fn inject_fault(
    fleet: Rc<Fleet>,
    faults_start_ms: u64,
    timed_fault: TimedFault,
) -> io::Result<()> {
    let TimedFault { at_ms, fault, duration_ms } = timed_fault;
    sleep_until(fleet.started + Duration::from_millis(faults_start_ms + at_ms)).await;
    let from_ms = elapsed_ms(fleet.started);
    let duration = Duration::from_millis(duration_ms);
    let mut stopped_instance = None;
    match fault {
        Fault::BrokenStreams => {
            fleet.breaks_streams.set(true);
            sleep(duration).await;
            fleet.breaks_streams.set(false);
            // The runs that break off excuse lost answers one by one.
            return Ok(());
        }
        Fault::Compact => {
            fleet.write_document();
            fleet.store.compact();
            fleet.write_document();
        }
        // It excuses no lost answer.
        Fault::Crowd(number) => {
            let address = fleet.instances[number].borrow().caller_address();
            crowd::hold(address, timed_fault.at_ms, duration).await;
            return Ok(());
        }
        Fault::Document => revoke_key(&fleet, duration).await,
        // Neither of these excuses a lost answer.
        Fault::DocumentLimits => {
            fleet.write_document();
            return Ok(());
        }
        Fault::EngineSilence(number) => {
            fleet.backend(number).server.fall_silent(duration);
            return Ok(());
        }
        // It excuses no lost answer.
        Fault::Evacuate(number) => {
            evacuate(&fleet, number, duration).await;
            return Ok(());
        }
        Fault::Drain(number) => drain_backend(&fleet, &fleet.backend(number)).await,
        Fault::EngineCrash(number) => {
            let backend = fleet.backend(number);
            backend.server.crash();
            sleep(duration).await;
            end_backend(&fleet, &backend);
        }
        Fault::EngineConnections(number, connection_fault) => {
            let backend = fleet.backend(number);
            inject_connection_fault(&backend.proxy, connection_fault, duration).await
        }
        Fault::StoreConnections(number, connection_fault) => {
            inject_connection_fault(&fleet.store_proxies[number], connection_fault, duration).await
        }
        Fault::AllStoreConnections(connection_fault) => {
            fleet.store_proxies.iter().for_each(|proxy| proxy.set_fault(Some(connection_fault)));
            sleep(duration).await;
            fleet.store_proxies.iter().for_each(|proxy| proxy.set_fault(None));
        }
        Fault::Pause(number) => {
            fleet.instances[number].borrow().signal(Signal::STOP);
            sleep(duration).await;
            fleet.instances[number].borrow().signal(Signal::CONT);
        }
        Fault::Replace(number) => {
            let backend = fleet.backend(number);
            fleet.replace_version(&backend).await?;
            drain_backend(&fleet, &backend).await;
        }
        Fault::Reload(number) => fleet.instances[number].borrow().signal(Signal::HUP),
        Fault::Kill(number) => {
            fleet.instances[number].borrow_mut().kill();
            sleep(duration).await;
            start_if_ended(&fleet.instances[number]);
        }
        Fault::Stop(number) => {
            stopped_instance = Some((number, fleet.instances[number].borrow().start_number));
            stop_and_restart(&fleet.instances[number]).await;
        }
    }
    fleet.record_fault_period(from_ms, stopped_instance);
    if let Some(instance) = disturbed_by(fault) {
        let until_ms = elapsed_ms(fleet.started);
        fleet.checker.borrow_mut().disturbances.push((instance, from_ms, until_ms));
    }
    Ok(())
}

/// Returns the instance that a fault disturbs, or keeps from the store; `None` within if these are all.
fn disturbed_by(fault: Fault) -> Option<Option<usize>> {
    match fault {
        Fault::Kill(number)
        | Fault::Pause(number)
        | Fault::Stop(number)
        | Fault::StoreConnections(number, _) => Some(Some(number)),
        Fault::AllStoreConnections(_) | Fault::Compact => Some(None),
        _ => None,
    }
}

async fn inject_connection_fault(proxy: &Proxy, fault: ConnectionFault, duration: Duration) {
    proxy.set_fault(Some(fault));
    sleep(duration).await;
    proxy.set_fault(None);
    if fault == ConnectionFault::Silent || fault == ConnectionFault::OneWay {
        // Silenced connections never resume: they are reset, and new ones work.
        proxy.reset_connections();
    }
}

async fn revoke_key(fleet: &Fleet, duration: Duration) {
    let revoked = fleet.revoked_keys.borrow().clone();
    let Some(key) = LIMITED_KEYS.into_iter().find(|key| !revoked.contains(key)) else {
        fleet.write_document();
        return;
    };
    fleet.revoked_keys.borrow_mut().push(key);
    fleet.write_document();
    let at_ms = elapsed_ms(fleet.started);
    fleet.checker.borrow_mut().revocations.entry(key.to_owned()).or_default().push((at_ms, None));
    sleep(duration * 3).await;
    let at_ms = elapsed_ms(fleet.started);
    let mut checker = fleet.checker.borrow_mut();
    if let Some(span) = checker.revocations.entry(key.to_owned()).or_default().last_mut() {
        span.1 = Some(at_ms);
    }
    drop(checker);
    fleet.revoked_keys.borrow_mut().retain(|revoked| *revoked != key);
    fleet.write_document();
}

/// Evacuates a data centre for longer than it takes to empty it, unless one is evacuated.
async fn evacuate(fleet: &Fleet, number: usize, duration: Duration) {
    let data_centre: Name = data_centre(number).into();
    let key = format!("op/evacuate/{data_centre}");
    let is_open = |known: &(Name, u64, Option<u64>)| known.2.is_none();
    if fleet.checker.borrow().evacuations.iter().any(is_open) {
        return;
    }
    fleet.store.write(&key, Some(&json!(1)));
    let at_ms = elapsed_ms(fleet.started);
    fleet.checker.borrow_mut().evacuations.push((data_centre, at_ms, None));
    sleep(Duration::from_millis(EVACUATE_MS) + duration).await;
    let at_ms = elapsed_ms(fleet.started);
    if let Some(span) = fleet.checker.borrow_mut().evacuations.last_mut() {
        span.2 = Some(at_ms);
    }
    fleet.store.write(&key, None);
}

async fn drain_backend(fleet: &Fleet, backend: &Backend) {
    fleet.publish(backend, "draining");
    sleep(Duration::from_millis(DRAIN_MS)).await;
    backend.server.crash();
    end_backend(fleet, backend);
}

/// Starts a backend server at the address of one that has ended, unless another took its place.
fn end_backend(fleet: &Fleet, backend: &Backend) {
    if backend.is_replaced.get() {
        fleet.remove_backend(backend);
    } else {
        fleet.restart_backend(backend);
    }
}

async fn stop_and_restart(instance: &RefCell<Instance>) {
    let start_number = instance.borrow().start_number;
    instance.borrow().signal(Signal::TERM);
    let deadline = Instant::now() + Duration::from_millis(STOP_GRACE_MS);
    while !instance.borrow_mut().has_ended() && Instant::now() < deadline {
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
    if instance.borrow().start_number == start_number {
        instance.borrow_mut().kill();
        start_if_ended(instance);
    }
}

fn start_if_ended(instance: &RefCell<Instance>) {
    let mut instance = instance.borrow_mut();
    if !instance.has_ended() {
        return;
    }
    if let Err(error) = instance.spawn() {
        eprintln!("an instance could not be started: {error}");
    }
}
