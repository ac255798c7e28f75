//! The datagrams that instances send each other, and their encoding.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::error::Error;
use crate::gateway::admission::Rank;
use crate::gateway::backend::SendOutcome;
use crate::gateway::engine_query::VersionNeed;
use crate::gateway::fleet::additions::Additions;
use crate::gateway::fleet::origin_message::{OriginAnswer, OriginAsk, ToldOrigin};
use crate::gateway::fleet::part_evidence::{PartEvidence, PartRefusal};
use crate::gateway::request_metadata::PromptShape;
use crate::gateway::store_item::StorePosition;
use crate::gateway::usage_limits::UsageShortage;
use crate::name::Name;
use crate::peer_message::Suspect;

/// Version of the datagrams; others are rejected.
pub const MESSAGE_VERSION: u8 = 5;
/// Longest list of instances in one datagram; a longer one is split.
pub const ROSTER_CHUNK: usize = 200;

/// Part of a datagram for one receiver; echoes the receiver's last datagram.
#[derive(Clone, Copy, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct Envelope {
    /// Version of the format.
    pub version: u8,
    /// When the receiver sent its last datagram that arrived here, in milliseconds of its own boot
    /// clock.
    pub echoed_sent_ms: Option<u64>,
    /// Time since that datagram arrived, in milliseconds.
    pub held_ms: u64,
}

impl Default for Envelope {
    fn default() -> Self {
        Self { version: MESSAGE_VERSION, echoed_sent_ms: None, held_ms: 0 }
    }
}

/// Part of a datagram that is the same for all receivers.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Who sent it.
    pub sender: Sender,
    /// What it says.
    pub body: Body,
    /// What builds before the first additions do not read.
    pub additions: Additions,
}

/// The instance that sent a datagram.
#[derive(Clone, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct Sender {
    /// Name of the instance.
    pub instance: Name,
    /// Number that differs with each of its starts.
    pub incarnation: u64,
    /// When it sent the datagram, in milliseconds of its boot clock.
    pub sent_ms: u64,
    /// Share of a processor that it has, in thousandths.
    pub capacity: u32,
    /// Whether it is stopping.
    pub stopping: bool,
}

/// Content of a datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Body {
    /// Answers a request for a place.
    #[serde(rename = "a")]
    Answer(PlaceAnswer),
    /// Asks a coordinator for a place at a backend server.
    #[serde(rename = "q")]
    Ask(Box<PlaceAsk>),
    /// The state of a cell, from a coordinator to its members.
    #[serde(rename = "c")]
    Cell(Box<CellReport>),
    /// Asks for the list of instances, unless it has this checksum.
    #[serde(rename = "h")]
    Hello(u64),
    /// What a member runs and has spent, to its coordinators.
    #[serde(rename = "m")]
    Member(Box<MemberReport>),
    /// Answers a question for the origin of a stream.
    #[serde(rename = "o")]
    Origin(OriginAnswer),
    /// Asks by which software version a stream was begun.
    #[serde(rename = "f")]
    OriginAsk(OriginAsk),
    /// Tells by which software versions streams were begun.
    #[serde(rename = "t")]
    Origins(Vec<ToldOrigin>),
    /// Progress of requests that hold places.
    #[serde(rename = "p")]
    Progress(Vec<PlaceProgress>),
    /// Some of the known instances.
    #[serde(rename = "r")]
    Roster(Vec<RosterEntry>),
    /// The sums of a cell, from its coordinators to those of other cells.
    #[serde(rename = "s")]
    Summary(Box<CellSummary>),
}

impl Body {
    /// Returns a short name for logs and metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Answer(_) => "answer",
            Self::Ask(_) => "ask",
            Self::Cell(_) => "cell",
            Self::Hello(_) => "hello",
            Self::Member(_) => "member",
            Self::Origin(_) => "origin",
            Self::OriginAsk(_) => "origin_ask",
            Self::Origins(_) => "origins",
            Self::Progress(_) => "progress",
            Self::Roster(_) => "roster",
            Self::Summary(_) => "summary",
        }
    }
}

/// What an instance knows of the store and of the routing document.
#[derive(Clone, Copy, Debug, Default, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct StoreStatus {
    /// Version of the document in force.
    pub document_version: u64,
    /// Age of the proof that this document is the newest, in milliseconds.
    pub proof_age_ms: Option<u64>,
    /// Position up to which the store's changes are known.
    pub position: StorePosition,
    /// Whether the store answered the last call.
    pub is_reachable: bool,
}

/// A known instance.
#[derive(Clone, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct RosterEntry {
    /// Name of the instance.
    pub instance: Name,
    /// Address for datagrams.
    pub address: SocketAddr,
    /// Share of a processor that it has, in thousandths.
    pub capacity: u32,
    /// Time since any instance heard it, in milliseconds.
    pub age_ms: u64,
    /// Whether it is stopping.
    pub stopping: bool,
}

/// What a member runs and has spent.
#[derive(Clone, Debug, Default, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct MemberReport {
    /// What it knows of the store.
    pub status: StoreStatus,
    /// Time since it started, in milliseconds.
    pub uptime_ms: u64,
    /// Whether `spent` lists all customers that spent anything there.
    pub is_full: bool,
    /// Units spent there since its start, by customer.
    pub spent: Vec<Spent>,
    /// Requests that it has sent to backend servers and that have not ended.
    pub running: Vec<RunningPlace>,
    /// Requests that were running at backend servers when these crashed.
    pub suspects: Vec<Suspect>,
    /// Evidence on prompt parts that may crash engines.
    pub parts: PartEvidence,
    /// Backend servers that announced that they leave.
    pub leaving: Vec<LeavingServer>,
}

/// Units spent for one customer.
#[derive(Clone, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct Spent {
    /// Name of the customer.
    pub customer: Name,
    /// Units spent.
    pub units: u64,
}

/// A request that runs at a backend server.
#[derive(Clone, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct RunningPlace {
    /// Number of the place at the instance that holds it.
    pub number: u64,
    /// Id of the backend server.
    pub backend_server: Name,
    /// Uncached prompt tokens, before the first event.
    pub unread_tokens: u64,
}

/// The state of a cell.
#[derive(Clone, Debug, Default, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct CellReport {
    /// What the coordinator knows of the store.
    pub status: StoreStatus,
    /// Whether it has coordinated long enough to grant places.
    pub is_ready: bool,
    /// Live instances of all cells.
    pub live: u32,
    /// Known instances of all cells.
    pub known: u32,
    /// Instance of the cell that reads the store.
    pub reader: Option<Name>,
    /// Units left, by customer.
    pub left: Vec<UnitsLeft>,
    /// Loads and speeds of the backend servers of the cell.
    pub engines: Vec<EngineReport>,
    /// Coordinators of the other cells.
    pub leaders: Vec<CellLeader>,
    /// Some of the known instances.
    pub instances: Vec<RosterEntry>,
    /// Suspects of the whole fleet.
    pub suspects: Vec<ReportedSuspects>,
    /// Evidence on prompt parts that may crash engines.
    pub parts: PartEvidence,
    /// Backend servers that announced that they leave.
    pub leaving: Vec<LeavingServer>,
}

/// Suspects that one instance reported.
#[derive(Clone, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct ReportedSuspects {
    /// The instance that saw the crashes.
    pub instance: Name,
    /// Its suspects.
    pub suspects: Vec<Suspect>,
}

/// A backend server that announced in an answer that it leaves.
#[derive(Clone, Debug, Deserialize_tuple, Eq, Ord, PartialEq, PartialOrd, Serialize_tuple)]
pub struct LeavingServer {
    /// Its id.
    pub backend_server: Name,
    /// Start of the run that leaves, in Unix milliseconds, if it is published.
    pub born_ms: Option<u64>,
}

/// Units left of a customer's limit.
#[derive(Clone, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct UnitsLeft {
    /// Name of the customer.
    pub customer: Name,
    /// Units left; negative if more were spent.
    pub units: i64,
}

/// Load and speeds of one backend server.
#[derive(Clone, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct EngineReport {
    /// Id of the backend server.
    pub backend_server: Name,
    /// Requests of all instances that run there.
    pub running: u32,
    /// Their uncached prompt tokens.
    pub unread_tokens: u64,
    /// Measured speeds.
    pub speeds: Speeds,
}

/// Measured speeds of one backend server; 0 where nothing was measured.
#[derive(Clone, Copy, Debug, Default, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct Speeds {
    /// Time to prefill one prompt token, in milliseconds.
    pub prefill_ms: f32,
    /// Time to generate one token, in milliseconds.
    pub token_ms: f32,
    /// Duration of a plain answer, in milliseconds.
    pub reply_ms: f32,
    /// Share of recent sends that failed.
    pub failure_share: f32,
}

/// The first coordinator of a cell.
#[derive(Clone, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct CellLeader {
    /// Index of the cell.
    pub cell: u32,
    /// Its address.
    pub address: SocketAddr,
}

/// The sums of a cell.
#[derive(Clone, Debug, Default, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct CellSummary {
    /// What the coordinator knows of the store.
    pub status: StoreStatus,
    /// Index of the cell.
    pub cell: u32,
    /// Whether the sender is the first coordinator of its cell.
    pub is_first: bool,
    /// Live instances of the cell.
    pub live: u32,
    /// Whether `spent` lists all customers that spent anything in the cell.
    pub is_full: bool,
    /// Units spent in the cell, by customer.
    pub spent: Vec<Spent>,
    /// Free places, by service.
    pub free: Vec<FreePlaces>,
    /// Some instances of the cell.
    pub members: Vec<RosterEntry>,
    /// Suspects of the cell.
    pub suspects: Vec<ReportedSuspects>,
    /// Evidence on prompt parts that may crash engines.
    pub parts: PartEvidence,
    /// Backend servers that announced that they leave.
    pub leaving: Vec<LeavingServer>,
}

/// Free places at the backend servers of one service.
#[derive(Clone, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct FreePlaces {
    /// Name of the service.
    pub service: Name,
    /// Places that are free and that no waiting request needs.
    pub count: u32,
}

/// Asks for a place.
#[derive(Clone, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct PlaceAsk {
    /// Number of the place at the asking instance.
    pub number: u64,
    /// Name of the service.
    pub service: Name,
    /// Rank of the request.
    pub rank: Rank,
    /// Time within which the answer should begin, from the arrival of the request, in milliseconds.
    pub goal_ms: u64,
    /// Time left until the answer should begin, in milliseconds.
    pub due_left_ms: u64,
    /// Time left until the deadline, in milliseconds.
    pub deadline_left_ms: u64,
    /// Longest pause between events of a timely answer, in milliseconds.
    pub event_gap_goal_ms: u64,
    /// Prompt and expected answer, for a model request.
    pub prompt: Option<PromptShape>,
    /// Backend servers that it was already sent to.
    pub tried: Vec<Name>,
    /// Software versions that may serve it.
    pub version_need: VersionNeed,
    /// Units to be taken from a customer's limit, if that is not done yet.
    pub usage: Option<AskedUsage>,
    /// Whether the coordinator of another cell may be named.
    pub may_redirect: bool,
    /// Whether it may wait for a place.
    pub may_wait: bool,
    /// Whether it may run more than once; among the additions of the message.
    #[serde(skip)]
    pub is_repeatable: bool,
}

/// Units to be taken from a customer's limit.
#[derive(Clone, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct AskedUsage {
    /// Name of the customer.
    pub customer: Name,
    /// Number of ranks of routes that precede that of the request.
    pub ranks_before: u32,
    /// Units.
    pub units: u64,
}

/// Answer to a request for a place.
#[derive(Clone, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct PlaceAnswer {
    /// Number of the place at the asking instance.
    pub number: u64,
    /// The answer.
    pub verdict: PlaceVerdict,
}

/// What a coordinator decided on a request for a place.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PlaceVerdict {
    /// The coordinator at this address has free places.
    #[serde(rename = "e")]
    Elsewhere(SocketAddr),
    /// The request may be sent.
    #[serde(rename = "g")]
    Granted(GrantedPlace),
    /// The customer has too few units left.
    #[serde(rename = "l")]
    OverLimit(UsageShortage),
    /// The receiver does not coordinate at present.
    #[serde(rename = "n")]
    NotCoordinating,
    /// It would not be served in time; the caller may retry after this time, in milliseconds.
    #[serde(rename = "r")]
    Refused(u64),
    /// A part of its prompt may have crashed engines.
    #[serde(rename = "s")]
    Suspect(PartRefusal),
    /// It waits.
    #[serde(rename = "w")]
    Waiting,
}

/// A place at a backend server.
#[derive(Clone, Debug, Deserialize_tuple, Eq, PartialEq, Serialize_tuple)]
pub struct GrantedPlace {
    /// Id of the backend server.
    pub backend_server: Name,
    /// Requests running there, this one included.
    pub running: u32,
    /// Prompt tokens still to be prefilled there, those of this request included.
    pub tokens_ahead: u64,
    /// Prompt tokens of this request that are probably not cached.
    pub unread_tokens: u64,
}

/// Progress of one request that holds a place.
#[derive(Clone, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct PlaceProgress {
    /// Number of the place at the instance that holds it.
    pub number: u64,
    /// What happened.
    pub step: PlaceStep,
}

/// Step of a request that holds a place.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PlaceStep {
    /// It ended.
    #[serde(rename = "e")]
    Ended(EndedPlace),
    /// Its first event arrived this many milliseconds after it was sent, with this many prompt
    /// tokens ahead.
    #[serde(rename = "f")]
    FirstEvent {
        /// Time since the send, in milliseconds.
        #[serde(rename = "m")]
        elapsed_ms: u64,
        /// Prompt tokens that were to be prefilled at the time of the send.
        #[serde(rename = "t")]
        tokens_ahead: u64,
    },
}

/// How a request that held a place ended.
#[derive(Clone, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct EndedPlace {
    /// The outcome.
    pub outcome: SendOutcome,
    /// Time for which it held its slot, in milliseconds, if it was answered.
    pub slot_ms: Option<u64>,
    /// Mean time between tokens, in milliseconds, if it was measured.
    pub token_ms: Option<f32>,
    /// Time for which the backend server asked to be left alone, in milliseconds.
    pub pause_ms: Option<u64>,
}

/// Encodes the part of a datagram that is the same for all receivers.
///
/// # Errors
///
/// Returns [`Error::Io`] if it can't be encoded.
pub fn encode_message(message: &Message) -> Result<Vec<u8>, Error> {
    let mut bytes = encode(&(&message.sender, &message.body), "Encoding a message failed")?;
    if message.additions != Additions::default() {
        bytes.extend(encode(&message.additions, "Encoding additions to a message failed")?);
    }
    Ok(bytes)
}

/// Encodes a datagram for one receiver.
///
/// # Errors
///
/// Returns [`Error::Io`] if it can't be encoded.
pub fn encode_datagram(envelope: &Envelope, message: &[u8]) -> Result<Vec<u8>, Error> {
    let mut bytes = encode(envelope, "Encoding an envelope failed")?;
    bytes.extend_from_slice(message);
    Ok(bytes)
}

/// Decodes a datagram.
///
/// # Errors
///
/// Returns [`Error::PeerMessage`] if it can't be decoded or has another version.
pub fn decode_datagram(mut bytes: &[u8], from: SocketAddr) -> Result<(Envelope, Message), Error> {
    let unreadable = |detail: String| Error::PeerMessage { detail, peer: from.to_string() };
    let envelope: Envelope =
        ciborium::from_reader(&mut bytes).map_err(|error| unreadable(error.to_string()))?;
    if envelope.version != MESSAGE_VERSION {
        return Err(unreadable(format!("version {} is not known", envelope.version)));
    }
    let (sender, body) =
        ciborium::from_reader(&mut bytes).map_err(|error| unreadable(error.to_string()))?;
    // What a later build adds in another form is passed over.
    let additions = ciborium::from_reader(bytes).unwrap_or_default();
    Ok((envelope, Message { sender, body, additions }))
}

fn encode<T>(value: &T, action: &str) -> Result<Vec<u8>, Error>
where
    T: Serialize,
{
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes)
        .map_err(|error| Error::io(action, std::io::Error::other(error.to_string())))?;
    Ok(bytes)
}
