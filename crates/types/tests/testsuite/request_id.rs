//! Tests of the text form of request identifiers.

use trefoildyke_types::id;

const UUID: &str = "0192d3a4-0000-7000-8000-000000000001";

#[test]
fn display_and_parse_round_trip() {
    let uuid: uuid::Uuid = UUID.parse().unwrap();
    let issuer = id::Incarnation::new(1_700_000_000_000, 7);
    let ids = [
        id::RequestId::chosen(uuid),
        id::RequestId::issued(uuid, issuer),
        id::RequestId::unrecorded(uuid, issuer),
    ];
    for id in ids {
        let parsed: id::RequestId = id.to_string().parse().unwrap();
        assert_eq!(parsed, id);
    }
    assert!(id::RequestId::unrecorded(uuid, issuer).is_unrecorded());
}

#[test]
fn unrecorded_suffix_without_issuer_is_an_error() {
    let result: Result<id::RequestId, _> = format!("{UUID}.u").parse();
    assert_eq!(result, Err(id::IdError::BadIssuer));
}
