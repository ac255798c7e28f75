//! Stand-in for the store that operators and backend servers write and instances read.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout_at};

/// Last change of a key: its revision and value, or no value if the key was removed.
#[derive(Clone)]
struct Item {
    revision: u64,
    value: Option<String>,
}

#[derive(Default)]
struct StoreState {
    changed: Notify,
    /// Revision up to which the history was dropped.
    compacted_revision: RefCell<u64>,
    items: RefCell<BTreeMap<String, Item>>,
    /// Changes in order: revision and key with its value.
    history: RefCell<Vec<(u64, String, Option<String>)>>,
}

/// A store in memory.
#[derive(Clone, Default)]
pub struct Store(Rc<StoreState>);

impl Store {
    /// Serves the store on a free port and returns the address.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn serve(&self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let store = self.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = store.clone();
                spawn_local(async move {
                    let service = service_fn(|request| store.answer(request));
                    let connection =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                    // A connection may break at any time, since instances are killed.
                    drop(connection.await);
                });
            }
        });
        Ok(address)
    }

    /// Writes a key, or removes it if there is no value.
    pub fn write(&self, key: &str, value: Option<&Value>) {
        let value = value.map(|value| STANDARD.encode(value.to_string()));
        let revision = self.revision() + 1;
        self.0.items.borrow_mut().insert(key.to_owned(), Item { revision, value: value.clone() });
        self.0.history.borrow_mut().push((revision, key.to_owned(), value));
        self.0.changed.notify_waiters();
    }

    /// Drops the history; a later watch from before this revision is answered with 410 Gone.
    pub fn compact(&self) {
        *self.0.compacted_revision.borrow_mut() = self.revision();
        self.0.history.borrow_mut().clear();
    }

    fn revision(&self) -> u64 {
        self.0.items.borrow().values().map(|item| item.revision).max().unwrap_or(1)
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let query = request.uri().query().unwrap_or_default();
        let parameter = |name: &str| -> u64 {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.find(|field| field.0 == name).and_then(|f| f.1.parse().ok()).unwrap_or_default()
        };
        let (status, body) = if request.uri().path().ends_with("kv-range") {
            (StatusCode::OK, self.list())
        } else {
            self.watch(parameter("after"), parameter("wait-ms")).await
        };
        let mut response = Response::new(Full::new(body.to_string().into()));
        *response.status_mut() = status;
        Ok(response)
    }

    fn list(&self) -> Value {
        let items = self.0.items.borrow();
        let items: Vec<_> = items
            .iter()
            .filter_map(|(key, item)| {
                let value = item.value.as_ref()?;
                Some(json!({"key": key, "value": value, "revision": item.revision}))
            })
            .collect();
        json!({"items": items, "has-more": false, "store-revision": self.revision()})
    }

    async fn watch(&self, after: u64, wait_ms: u64) -> (StatusCode, Value) {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let changed = self.0.changed.notified();
            if after < *self.0.compacted_revision.borrow() {
                return (StatusCode::GONE, json!({}));
            }
            let events: Vec<_> = self
                .0
                .history
                .borrow()
                .iter()
                .filter(|(revision, _, _)| *revision > after)
                .map(|(revision, key, value)| match value {
                    Some(value) => json!({"key": key, "value": value, "revision": revision}),
                    None => json!({"key": key, "revision": revision, "tombstone": true}),
                })
                .collect();
            if !events.is_empty() || timeout_at(deadline, changed).await.is_err() {
                let body = json!({"events": events, "store-revision": self.revision().max(after)});
                return (StatusCode::OK, body);
            }
        }
    }
}
