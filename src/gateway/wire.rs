//! The border to a platform's names and formats.

use hyper::HeaderMap;
use hyper::StatusCode;

use crate::error::Error;
use crate::gateway::gateway_settings::GatewaySettings;
use crate::gateway::request_metadata::RequestMetadata;
use crate::gateway::store_item::{StoreChanges, StorePage};
use crate::name::Name;

/// Translates between a platform's names and formats and the types of this crate.
///
/// It decides nothing.
pub trait Wire {
    /// Reads the settings of the process.
    ///
    /// # Errors
    ///
    /// Returns all findings.
    fn settings(&self, file: &str, text: &str) -> Result<GatewaySettings, Error>;

    /// Returns the environment variable that holds the path of the settings file.
    fn settings_variable(&self) -> &str;

    /// Returns the path of the balancer's question whether the instance takes requests.
    fn readiness_path(&self) -> &str;

    /// Returns the path and query that list the store from after a key on.
    fn list_path(&self, after: Option<&str>) -> String;

    /// Returns the path and query that wait for changes after a revision.
    fn watch_path(&self, revision: u64, wait_ms: u64) -> String;

    /// Reads one page of a listing.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the body.
    fn store_page(&self, body: &[u8]) -> Result<StorePage, String>;

    /// Reads changes.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the body.
    fn store_changes(&self, body: &[u8]) -> Result<StoreChanges, String>;

    /// Reads what the headers of a caller's request say.
    fn request_metadata(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Turns the headers of a caller's request into those for one backend server.
    fn prepare_request(&self, headers: &mut HeaderMap, send: &SendMetadata);

    /// Sets the event after which a stream goes on.
    fn set_resume_point(&self, headers: &mut HeaderMap, last_event_id: &str);

    /// Reads what an answer of a backend server says of itself.
    fn reply_metadata(&self, status: StatusCode, headers: &HeaderMap) -> ReplyMetadata;

    /// Removes what belongs to one connection only from an answer for a caller.
    fn prepare_reply(&self, headers: &mut HeaderMap);
}

/// What goes with one send to a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SendMetadata {
    /// Id of the backend server that is meant.
    pub backend_server: Name,
    /// Customer that sent the request, if a key named one.
    pub customer: Option<Name>,
    /// Time that is left for the answer, in milliseconds.
    pub time_left_ms: u64,
}

/// What an answer of a backend server says of itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReplyMetadata {
    /// Time for which the backend server keeps an idle connection, in milliseconds.
    pub idle_timeout_ms: Option<u64>,
    /// Whether the backend server says that it did not run the request.
    pub not_run: bool,
    /// Id of the request that it answers, if it says so.
    pub request_id: Option<String>,
    /// Whether it carries the digest that a whole answer has.
    pub has_digest: bool,
}
