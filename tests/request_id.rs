//! Tests of request identities.

use bergamotspan::request_id::RequestId;

#[test]
fn an_id_prints_instance_incarnation_and_sequence() {
    let id = RequestId { instance: "entry-1".into(), incarnation: 255, sequence: 7 };

    assert_eq!(id.to_string(), "entry-1-ff-7");
}
