//! Text form of request identifiers.

use trefoildyke_types::id;

const UUID: &str = "0192d3a4-0000-7000-8000-000000000001";

#[test]
fn an_id_keeps_its_issuer_and_mark_through_text() {
    let uuid: uuid::Uuid = UUID.parse().unwrap();
    let issuer = id::Incarnation::new(1_700_000_000_000, 7);
    let all = [
        id::RequestId::chosen(uuid),
        id::RequestId::issued(uuid, issuer),
        id::RequestId::unrecorded(uuid, issuer),
    ];
    for id in all {
        let back: id::RequestId = id.to_string().parse().unwrap();
        assert_eq!(back, id);
    }
    assert!(id::RequestId::unrecorded(uuid, issuer).is_unrecorded());
}

#[test]
fn a_mark_without_an_issuer_is_refused() {
    let result: Result<id::RequestId, _> = format!("{UUID}.u").parse();
    assert_eq!(result, Err(id::IdError::BadIssuer));
}
