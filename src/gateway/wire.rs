//! The interface between the gateway and a platform's names and formats.

use hyper::HeaderMap;
use hyper::StatusCode;

use crate::error::Error;
use crate::gateway::gateway_settings::GatewaySettings;
use crate::gateway::rate_limit::StatedLimit;
use crate::gateway::request_metadata::RequestMetadata;
use crate::gateway::store_item::{StoreChanges, StorePage};
use crate::name::Name;

/// Translates between a platform's names and formats and the types of this crate.
///
/// Implementations take no decisions.
pub trait Wire {
    /// Reads the settings of the process.
    ///
    /// # Errors
    ///
    /// Returns all findings.
    fn settings(&self, file: &str, text: &str) -> Result<GatewaySettings, Error>;

    /// Returns the environment variable that holds the path of the settings file.
    fn settings_variable(&self) -> &str;

    /// Returns the path at which the balancer checks readiness.
    fn readiness_path(&self) -> &str;

    /// Returns the path and query that list the store after a key.
    fn list_path(&self, after: Option<&str>) -> String;

    /// Returns the path and query that wait up to `wait_ms` for changes after a revision.
    fn watch_path(&self, revision: u64, wait_ms: u64) -> String;

    /// Reads the era of the store from the headers of an answer, if they hold one.
    ///
    /// # Errors
    ///
    /// Returns the text of the header if it can't be read.
    fn store_era(&self, headers: &HeaderMap) -> Result<Option<u64>, String>;

    /// Reads one page of a listing, from an answer of this era.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the body.
    fn store_page(&self, era: u64, body: &[u8]) -> Result<StorePage, String>;

    /// Reads the changes in the answer to a watch, of this era.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the body.
    fn store_changes(&self, era: u64, body: &[u8]) -> Result<StoreChanges, String>;

    /// Reads metadata from the headers of a caller's request.
    fn request_metadata(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Replaces the headers of a caller's request with those for one backend server.
    fn prepare_request(&self, headers: &mut HeaderMap, send: &SendMetadata);

    /// Sets the event after which a stream is resumed.
    fn set_resume_point(&self, headers: &mut HeaderMap, last_event_id: &str);

    /// Reads metadata from the status and headers of a backend server's answer.
    fn reply_metadata(&self, status: StatusCode, headers: &HeaderMap) -> ReplyMetadata;

    /// Removes the headers that apply to a single connection from an answer for a caller.
    fn prepare_reply(&self, headers: &mut HeaderMap);
}

/// Metadata of one send to a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SendMetadata {
    /// Id of the backend server that the request is for.
    pub backend_server: Name,
    /// Customer that sent the request, if it had a key.
    pub customer: Option<Name>,
    /// Time left until the deadline, in milliseconds.
    pub time_left_ms: u64,
}

/// Metadata of a backend server's answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReplyMetadata {
    /// Time for which the backend server stays cold, in milliseconds, if it says so.
    pub cold_ms: Option<u64>,
    /// Time for which the backend server keeps an idle connection, in milliseconds.
    pub idle_timeout_ms: Option<u64>,
    /// Whether the backend server announces that it leaves.
    pub is_leaving: bool,
    /// The limit on requests that the backend server states.
    pub limit: StatedLimit,
    /// Time for which the backend server asks to be left alone, in milliseconds.
    pub pause_ms: Option<u64>,
    /// Whether the backend server reports that it did not run the request.
    pub not_run: bool,
    /// Id of the request that it answers, if the headers hold one; several are joined.
    pub request_id: Option<String>,
    /// Whether it has exactly one digest, as complete answers do.
    pub has_digest: bool,
}
