//! Route of the fault proxy: a listener whose connections are forwarded to a target.

use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

use super::fault::{Direction, Fault, Faults, ForwardDecision};
use super::pump;

/// Timeout of a connection to a target.
const CONNECT_TIMEOUT_MS: u64 = 2_000;

/// Interval at which the faults are checked again while data is held.
pub(super) const HOLD_POLL_INTERVAL_MS: u64 = 5;

/// A route and its faults.
pub(super) struct Route {
    pub name: String,
    faults: Mutex<Faults>,
    target: SocketAddr,
}

/// A connection through a route.
pub(super) struct Connection {
    opened_at: Instant,
    route: Arc<Route>,
    source: IpAddr,
}

impl Route {
    /// Starts a route and returns it with the address that it listens on.
    pub(super) fn start(
        name: &str,
        listen: SocketAddr,
        target: SocketAddr,
    ) -> io::Result<(Arc<Self>, SocketAddr)> {
        let listener = crate::http::listen(listen)?;
        let address = listener.local_addr()?;
        let route =
            Arc::new(Self { name: name.to_owned(), faults: Mutex::new(Faults::default()), target });
        let accept_route = Arc::clone(&route);
        thread::spawn(move || accept(&accept_route, &listener));
        Ok((route, address))
    }

    pub(super) fn set_fault(&self, fault: Fault) {
        self.faults.lock().expect("no thread panics").set_fault(fault, Instant::now());
    }
}

impl Connection {
    pub(super) fn decide(&self, direction: Direction) -> ForwardDecision {
        let faults = self.route.faults.lock().expect("no thread panics");
        faults.decide(self.source, self.opened_at, direction)
    }

    pub(super) fn delay(&self) -> Duration {
        self.route.faults.lock().expect("no thread panics").delay(self.source)
    }

    /// Waits while data is held; returns `true` if it may be forwarded and `false` if the
    /// connection is to be closed.
    pub(super) fn wait_to_forward(&self, direction: Direction) -> bool {
        loop {
            match self.decide(direction) {
                ForwardDecision::Close => return false,
                ForwardDecision::Hold => {
                    thread::sleep(Duration::from_millis(HOLD_POLL_INTERVAL_MS))
                }
                ForwardDecision::Forward => return true,
            }
        }
    }
}

fn accept(route: &Arc<Route>, listener: &TcpListener) {
    while let Ok((client, from)) = listener.accept() {
        let connection =
            Connection { opened_at: Instant::now(), route: Arc::clone(route), source: from.ip() };
        thread::spawn(move || forward_connection(connection, client));
    }
}

fn forward_connection(connection: Connection, client: TcpStream) {
    if !connection.wait_to_forward(Direction::ToTarget) {
        return pump::reset(&client);
    }
    match connect(connection.source, connection.route.target) {
        Ok(target) => pump::start(Arc::new(connection), client, target),
        Err(_) => pump::reset(&client),
    }
}

/// Connects from the address of the client, so that the target can identify it.
fn connect(source: IpAddr, target: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(target), Type::STREAM, None)?;
    if source.is_loopback() && source.is_ipv4() == target.is_ipv4() {
        socket.bind(&SocketAddr::new(source, 0).into())?;
    }
    socket.set_tcp_nodelay(true)?;
    socket.connect_timeout(&target.into(), Duration::from_millis(CONNECT_TIMEOUT_MS))?;
    Ok(socket.into())
}
