//! A way between two programs that can be reset, silenced or slowed.

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

use crate::schedule::Path;

/// Time by which a slow way holds each piece up, in milliseconds.
const SLOW_MS: u64 = 300;
/// Time between two looks at whether a silent way carries again, in milliseconds.
const LOOK_MS: u64 = 20;
/// Bytes that are passed on at once.
const PIECE_BYTES: usize = 16_384;

/// A way to one address.
#[derive(Clone)]
pub struct Proxy {
    /// Address that stands for the other end.
    pub address: SocketAddr,
    connections: Rc<RefCell<Vec<AbortHandle>>>,
    path: Rc<Cell<Option<Path>>>,
    target: Rc<Cell<SocketAddr>>,
}

impl Proxy {
    /// Opens a way to `target`.
    ///
    /// # Errors
    ///
    /// Returns why no port could be had.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = Self {
            address: listener.local_addr()?,
            connections: Rc::default(),
            path: Rc::default(),
            target: Rc::new(Cell::new(target)),
        };
        spawn_local(proxy.clone().accept(listener));
        Ok(proxy)
    }

    /// Leads to another address from now on; open connections end.
    pub fn lead_to(&self, target: SocketAddr) {
        self.target.set(target);
        self.cut();
    }

    /// Makes the way misbehave, or mends it.
    pub fn set(&self, path: Option<Path>) {
        self.path.set(path);
        if path == Some(Path::Reset) {
            self.cut();
        }
    }

    /// Ends all open connections.
    pub fn cut(&self) {
        self.connections.borrow_mut().drain(..).for_each(|connection| connection.abort());
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            // What is cut is reset, as by a crash.
            drop(SockRef::from(&stream).set_linger(Some(Duration::ZERO)));
            if self.path.get() == Some(Path::Reset) {
                continue;
            }
            let carried = spawn_local(self.clone().carry(stream)).abort_handle();
            let mut connections = self.connections.borrow_mut();
            connections.retain(|connection| !connection.is_finished());
            connections.push(carried);
        }
    }

    async fn carry(self, mut near: TcpStream) {
        let Ok(mut far) = TcpStream::connect(self.target.get()).await else { return };
        drop((near.set_nodelay(true), far.set_nodelay(true)));
        let (mut near_read, mut near_write) = near.split();
        let (mut far_read, mut far_write) = far.split();
        let there = self.pump(&mut near_read, &mut far_write, &[Path::Silent]);
        let back = self.pump(&mut far_read, &mut near_write, &[Path::Silent, Path::OneWay]);
        tokio::select! { () = there => {}, () = back => {} }
    }

    async fn pump<R, W>(&self, from: &mut R, to: &mut W, held: &[Path])
    where
        R: AsyncReadExt + Unpin,
        W: AsyncWriteExt + Unpin,
    {
        let mut piece = vec![0; PIECE_BYTES];
        while let Ok(length @ 1..) = from.read(&mut piece).await {
            while self.path.get().is_some_and(|path| held.contains(&path)) {
                sleep(Duration::from_millis(LOOK_MS)).await;
            }
            if self.path.get() == Some(Path::Slow) {
                sleep(Duration::from_millis(SLOW_MS)).await;
            }
            if to.write_all(&piece[..length]).await.is_err() {
                return;
            }
        }
    }
}
