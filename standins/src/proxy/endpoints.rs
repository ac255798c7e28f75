//! HTTP endpoints of the fault proxy, which add routes and set faults.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use serde::Deserialize;
use tiny_http::{Method, Request};

use super::fault::Fault;
use super::route::Route;
use crate::http::{self, Reply};
use crate::process::Listening;

#[derive(Deserialize)]
struct NewRoute {
    listen: SocketAddr,
    target: SocketAddr,
}

/// The routes of a proxy, sorted by name.
#[derive(Default)]
pub(super) struct Proxy {
    routes: Mutex<Vec<Arc<Route>>>,
}

impl Proxy {
    /// Answers a request.
    pub(super) fn answer(&self, mut request: Request) {
        let url = request.url().to_owned();
        let parts: Vec<&str> = url.split('/').skip(1).collect();
        let reply = match (request.method(), parts.as_slice()) {
            (Method::Put, ["v1", "routes", name]) => self.add_route(name, &mut request),
            (Method::Put, ["v1", "faults", name]) => self.set_fault(name, &mut request),
            _ => Reply::status(404),
        };
        reply.send(request);
    }

    fn add_route(&self, name: &str, request: &mut Request) -> Reply {
        let body: NewRoute = match http::read_json(request) {
            Ok(body) => body,
            Err(reply) => return reply,
        };
        let mut routes = self.routes.lock().expect("no thread panics");
        let Err(index) = find_route(&routes, name) else { return Reply::status(409) };
        match Route::start(name, body.listen, body.target) {
            Ok((route, listening)) => {
                routes.insert(index, route);
                Reply::json(&Listening { listening })
            }
            Err(error) => Reply { status: 500, body: format!("{:?}", error.to_string()) },
        }
    }

    fn set_fault(&self, name: &str, request: &mut Request) -> Reply {
        let fault: Fault = match http::read_json(request) {
            Ok(fault) => fault,
            Err(reply) => return reply,
        };
        let routes = self.routes.lock().expect("no thread panics");
        let Ok(index) = find_route(&routes, name) else { return Reply::status(404) };
        routes[index].set_fault(fault);
        Reply::status(200)
    }
}

fn find_route(routes: &[Arc<Route>], name: &str) -> Result<usize, usize> {
    routes.binary_search_by(|route| route.name.as_str().cmp(name))
}
