//! Records and settings shared by the tests of intents.

use trefoildyke_decide::intents;
use trefoildyke_types::{id, request};

/// The wall-clock time of all tests, in milliseconds since the Unix epoch.
pub(super) const NOW_MS: u64 = 1_760_000_000_000;

pub(super) const RETENTION: intents::Retention =
    intents::Retention { keep_ms: 600_000, skew_ms: 30_000 };

pub(super) const LAYOUT: intents::Layout =
    intents::Layout { buckets: 4, slice_ms: 60_000, retention: RETENTION };

/// The size limit of a part that holds two to four rows, in bytes, so that parts are sealed often.
pub(super) const SMALL_PART: usize = 700;

/// Returns the key of request `number`, created at `created_ms`.
pub(super) fn key_at(number: u64, created_ms: u64) -> id::RequestKey {
    let uuid = (u128::from(created_ms) << 80) | (7 << 76) | (2 << 62) | u128::from(number);
    let id = id::RequestId::chosen(uuid::Uuid::from_u128(uuid));
    id::RequestKey { account: "cascadia".into(), id }
}

pub(super) fn key(number: u64) -> id::RequestKey {
    key_at(number, NOW_MS)
}

/// Returns the row that `daemon` records for request `number`, with its own nonce.
///
/// Endpoint names differ in length, so that one row may still fit into a part where another does not.
pub(super) fn row(number: u64, daemon: u64) -> intents::Row {
    let intent = request::Intent {
        coordinator: id::Incarnation::from_u64(daemon),
        nonce: id::Nonce(daemon * 1_000 + number),
        endpoint: "tacoma-a-07"
            .repeat(if daemon.is_multiple_of(2) { 1 } else { 9 })
            .as_str()
            .into(),
        fingerprint: number,
    };
    intents::Row { key: key(number), record: request::Record::Intent(intent) }
}

/// Returns the number of the request whose key was created by [`key`].
pub(super) fn number(key: &id::RequestKey) -> u64 {
    u64::from(key.id.uuid().as_fields().3[7])
}
