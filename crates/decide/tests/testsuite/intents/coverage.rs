//! Tests that only the issuer of an unrecorded identifier dispatches its request.

use trefoildyke_decide::{
    coordinate::{self, Admission, Recording},
    intents::Coverage,
};
use trefoildyke_types::id;

use crate::coordinate::fixture as coordinator;
use crate::intents::fixture;

#[test]
fn only_issued_identifiers_can_be_unrecorded() {
    let start = Admission::Start(Recording::Required);
    let issue = Admission::Issue(Recording::Required);
    assert_eq!(Coverage::Every.apply(issue), issue);
    assert_eq!(Coverage::Every.apply(start), start);
    assert_eq!(Coverage::CallerIds.apply(start), start);
    assert_eq!(Coverage::CallerIds.apply(Admission::LookUp), Admission::LookUp);
    let unrecorded = Coverage::CallerIds.apply(issue);
    assert_eq!(unrecorded, Admission::Issue(Recording::Unrecorded));
}

#[test]
fn an_unrecorded_identifier_is_marked_and_no_other_daemon_dispatches_it() {
    let (issuer, other) = (id::Incarnation::from_u64(1), id::Incarnation::from_u64(2));
    let uuid = fixture::key(1).id.uuid();
    let Admission::Issue(recording) =
        Coverage::CallerIds.apply(Admission::Issue(Recording::Required))
    else {
        panic!("the request is not issued an identifier");
    };
    let id = coordinate::issue(uuid, issuer, recording);
    assert!(id.is_unrecorded());
    let arrival = coordinator::arrival(Some(id));
    let now = coordinate::Conditions {
        own: other,
        unix_ms: id.created_ms(),
        ..coordinator::conditions()
    };
    let taken = coordinate::admit(&arrival, &now);
    assert_eq!(taken, Ok(Admission::Follow(issuer)), "the issuer is asked");
}
