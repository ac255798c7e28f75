//! TCP proxy between two programs, whose connections can be reset, silenced or delayed.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::sleep;

use crate::schedule::ConnectionFault;

/// Delay of each buffer that is forwarded during a [`ConnectionFault::Slow`], in milliseconds.
const SLOW_DELAY_MS: u64 = 300;
/// Time between two checks whether a silenced connection may forward again, in milliseconds.
const POLL_INTERVAL_MS: u64 = 20;
/// Largest number of bytes that are forwarded at once.
const BUFFER_BYTES: usize = 16_384;

/// A proxy to one address.
#[derive(Clone)]
pub struct Proxy {
    /// Address of its listener.
    pub address: SocketAddr,
    connections: Rc<RefCell<Vec<AbortHandle>>>,
    fault: Rc<Cell<Option<ConnectionFault>>>,
    target: Rc<Cell<SocketAddr>>,
}

impl Proxy {
    /// Starts a proxy to `target` on a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = Self {
            address: listener.local_addr()?,
            connections: Rc::default(),
            fault: Rc::default(),
            target: Rc::new(Cell::new(target)),
        };
        spawn_local(proxy.clone().accept(listener));
        Ok(proxy)
    }

    /// Forwards new connections to another address and resets the open ones.
    pub fn redirect(&self, target: SocketAddr) {
        self.target.set(target);
        self.reset_connections();
    }

    /// Starts a fault of all connections, or ends it.
    pub fn set_fault(&self, fault: Option<ConnectionFault>) {
        self.fault.set(fault);
        if fault == Some(ConnectionFault::Reset) {
            self.reset_connections();
        }
    }

    /// Resets all open connections.
    pub fn reset_connections(&self) {
        self.connections.borrow_mut().drain(..).for_each(|connection| connection.abort());
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            // Closing the connection resets it, as a crash does.
            drop(SockRef::from(&stream).set_linger(Some(Duration::ZERO)));
            if self.fault.get() == Some(ConnectionFault::Reset) {
                continue;
            }
            let forwarding = spawn_local(self.clone().forward(stream)).abort_handle();
            let mut connections = self.connections.borrow_mut();
            connections.retain(|connection| !connection.is_finished());
            connections.push(forwarding);
        }
    }

    async fn forward(self, mut client: TcpStream) {
        let Ok(mut server) = TcpStream::connect(self.target.get()).await else { return };
        drop((client.set_nodelay(true), server.set_nodelay(true)));
        let (mut client_read, mut client_write) = client.split();
        let (mut server_read, mut server_write) = server.split();
        let to_server = self.copy(&mut client_read, &mut server_write, &[ConnectionFault::Silent]);
        let to_client = self.copy(
            &mut server_read,
            &mut client_write,
            &[ConnectionFault::Silent, ConnectionFault::OneWay],
        );
        tokio::select! { () = to_server => {}, () = to_client => {} }
    }

    async fn copy<R, W>(&self, from: &mut R, to: &mut W, blocked_by: &[ConnectionFault])
    where
        R: AsyncReadExt + Unpin,
        W: AsyncWriteExt + Unpin,
    {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(length @ 1..) = from.read(&mut buffer).await {
            while self.fault.get().is_some_and(|fault| blocked_by.contains(&fault)) {
                sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
            }
            if self.fault.get() == Some(ConnectionFault::Slow) {
                sleep(Duration::from_millis(SLOW_DELAY_MS)).await;
            }
            if to.write_all(&buffer[..length]).await.is_err() {
                return;
            }
        }
    }
}
