//! Datagrams between builds of which one knows additions that the other does not.

mod gateway_support;

use std::net::SocketAddr;

use bergamotspan::gateway::fleet::additions::{
    Additions, ToldAsker, ToldEvacuations, ToldLimit, ToldQueue,
};
use bergamotspan::gateway::fleet::message::{
    Body, Envelope, Message, Sender, decode_datagram, encode_datagram, encode_message,
};
use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

/// A message as builds without additions read it.
#[derive(Debug, Deserialize_tuple, Serialize_tuple)]
struct FirstMessage {
    sender: Sender,
    body: Body,
}

/// Additions of a later build.
#[derive(Serialize)]
struct LaterAdditions {
    l: Vec<ToldLimit>,
    /// A field that this build does not know.
    later: Vec<String>,
}

/// Additions of a build that gave a known field another form.
#[derive(Deserialize, Serialize)]
struct OtherAdditions {
    l: String,
}

fn from() -> SocketAddr {
    gateway_support::address("10.1.0.2:7600")
}

fn sender() -> Sender {
    Sender {
        instance: "front-2".into(),
        incarnation: 3,
        sent_ms: 5,
        capacity: 250,
        stopping: false,
    }
}

fn limit() -> ToldLimit {
    ToldLimit {
        age_ms: 40,
        backend_server: "i-1".into(),
        born_ms: Some(9),
        millirequests_per_s: Some(2_200),
    }
}

fn written(additions: Additions) -> Vec<u8> {
    let message = Message { sender: sender(), body: Body::Hello(7), additions };
    let message = encode_message(&message).expect("encodable");
    encode_datagram(&Envelope::default(), &message).expect("encodable")
}

fn with_additions<T>(additions: &T) -> Vec<u8>
where
    T: Serialize,
{
    let mut bytes = written(Additions::default());
    ciborium::into_writer(additions, &mut bytes).expect("encodable");
    bytes
}

#[test]
fn a_build_without_additions_reads_a_message_that_has_some() {
    let evacuations = ToldEvacuations {
        age_ms: 5,
        data_centres: vec!["umea-a".into()],
        is_settled: true,
        position: gateway_support::position(7),
    };
    let additions =
        Additions { evacuations: Some(evacuations), limits: vec![limit()], ..Additions::default() };
    let bytes = written(additions.clone());
    assert_eq!(decode_datagram(&bytes, from()).expect("a message").1.additions, additions);
    let mut rest = &bytes[..];
    let envelope: Envelope = ciborium::from_reader(&mut rest).expect("an envelope");
    assert_eq!(envelope, Envelope::default());
    let message: FirstMessage = ciborium::from_reader(rest).expect("a message");
    assert_eq!((message.sender, message.body), (sender(), Body::Hello(7)));
}

#[test]
fn a_place_is_asked_for_a_customer_or_for_none_and_a_refusal_tells_the_queue() {
    let customer = Some("clinic".into());
    for asker in [None, Some(ToldAsker { customer: None }), Some(ToldAsker { customer })] {
        let queue = Some(ToldQueue { ahead: 3, wait_ms: 210, waiting: 8 });
        let additions = Additions { asker, queue, ..Additions::default() };
        let bytes = written(additions.clone());
        let (_, message) = decode_datagram(&bytes, from()).expect("a message");
        assert_eq!(message.additions, additions);
    }
}

#[test]
fn a_message_of_a_build_without_additions_is_read() {
    let mut bytes = Vec::new();
    ciborium::into_writer(&Envelope::default(), &mut bytes).expect("encodable");
    let first = FirstMessage { sender: sender(), body: Body::Hello(7) };
    ciborium::into_writer(&first, &mut bytes).expect("encodable");
    let (_, message) = decode_datagram(&bytes, from()).expect("a message");
    assert_eq!((message.sender, message.body), (sender(), Body::Hello(7)));
    assert_eq!(message.additions, Additions::default());
    // Without additions this build writes the same bytes.
    assert_eq!(bytes, written(Additions::default()));
}

#[test]
fn unknown_fields_of_additions_are_passed_over_and_the_known_ones_read() {
    let bytes = with_additions(&LaterAdditions { l: vec![limit()], later: vec!["x".to_owned()] });
    let (_, message) = decode_datagram(&bytes, from()).expect("a message");
    assert_eq!(message.additions.limits, [limit()]);
}

#[test]
fn additions_that_can_not_be_read_leave_the_message_as_it_is() {
    let bytes = with_additions(&OtherAdditions { l: "x".to_owned() });
    let (_, message) = decode_datagram(&bytes, from()).expect("a message");
    assert_eq!(message.body, Body::Hello(7));
    assert_eq!(message.additions, Additions::default());
}
