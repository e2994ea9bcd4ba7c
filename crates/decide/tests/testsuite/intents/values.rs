//! Tests of keys and values in their stored form.

use std::time;

use proptest::prelude::*;
use trefoildyke_decide::intents;
use trefoildyke_types::{id, request, time::Timestamp};

use crate::intents::fixture::{self, LAYOUT};

fn rows() -> impl Strategy<Value = intents::Row> {
    let names = (any::<String>(), any::<String>());
    let numbers = (any::<u64>(), any::<u64>(), any::<u64>(), any::<Option<u64>>());
    let kind = (any::<bool>(), any::<bool>(), any::<u32>());
    (names, numbers, kind).prop_map(|((account, endpoint), numbers, (closed, recorded, number))| {
        let (nonce, coordinator, fingerprint, issuer) = numbers;
        let uuid = fixture::key(u64::from(number)).id.uuid();
        let id = match issuer.map(id::Incarnation::from_u64) {
            None => id::RequestId::chosen(uuid),
            Some(issuer) if recorded => id::RequestId::issued(uuid, issuer),
            Some(issuer) => id::RequestId::unrecorded(uuid, issuer),
        };
        let nonce = id::Nonce(nonce);
        let intent = request::Intent {
            coordinator: id::Incarnation::from_u64(coordinator),
            nonce,
            endpoint: endpoint.as_str().into(),
            fingerprint,
        };
        let record = match closed {
            true => request::Record::Closed { nonce },
            false => request::Record::Intent(intent),
        };
        let key = id::RequestKey { account: account.as_str().into(), id };
        intents::Row { key, record }
    })
}

proptest! {
    #[test]
    fn a_part_round_trips_and_does_not_exceed_its_stated_size(
        rows in prop::collection::vec(rows(), 0..5),
        sealed: bool,
    ) {
        let part = intents::Part { sealed, rows };
        let text = serde_json::to_string(&part).unwrap();
        prop_assert!(text.len() <= part.size(), "{} bytes, stated {}", text.len(), part.size());
        prop_assert_eq!(serde_json::from_str::<intents::Part>(&text).unwrap(), part);
    }

    #[test]
    fn a_part_key_encodes_its_slot(slice in 0..u64::MAX >> 16, bucket: u32, index in 0..0xff_ffff_u32) {
        let slot = intents::Slot { slice, bucket };
        let key = slot.part_key(index);
        prop_assert_eq!(intents::Slot::parse(&key), Some((slot, index)));
        prop_assert!(key.starts_with(&slot.prefix()));
    }
}

#[test]
fn the_stored_form_is_stable() {
    let part = intents::Part { sealed: false, rows: vec![fixture::row(1, 2)] };
    insta::assert_snapshot!(serde_json::to_string(&part).unwrap(), @r#"{"sealed":false,"rows":[["cascadia","0199c82c-c000-7000-8000-000000000001",2001,["0000000000000002","tacoma-a-07",1]]]}"#);
    let slot = LAYOUT.slot(&fixture::key(1));
    insta::assert_snapshot!(slot.part_key(3), @"intents/slots/000001bf9755/0002/000003");
}

#[test]
fn keys_sort_by_slice_and_part() {
    let key = |slice, index| intents::Slot { slice, bucket: 7 }.part_key(index);
    let sorted = [key(9, 0), key(10, 0), key(10, 9), key(10, 10), key(4096, 1)];
    assert!(sorted.is_sorted());
}

#[test]
fn requests_spread_over_all_buckets() {
    let slots: std::collections::BTreeSet<_> =
        (0..100).map(|number| LAYOUT.slot(&fixture::key(number)).bucket).collect();
    assert_eq!(slots.len(), 4);
}

#[test]
fn commits_of_a_bucket_start_a_window_apart_and_the_first_one_immediately() {
    let window = time::Duration::from_millis(20);
    let at = Timestamp::from_millis;
    assert_eq!(intents::next_commit(at(100), None, window), at(100));
    assert_eq!(intents::next_commit(at(100), Some(at(95)), window), at(115));
    assert_eq!(intents::next_commit(at(200), Some(at(95)), window), at(200));
}
