//! Values shared by the tests of the coordinator.

use trefoildyke_decide::coordinate;
use trefoildyke_types::{id, request, time};

pub(crate) const NOW_MS: u64 = 1_700_000_000_000;
pub(crate) const RETENTION_MS: u64 = 600_000;
pub(crate) const NONCE: id::Nonce = id::Nonce(7);

pub(crate) fn own() -> id::Incarnation {
    id::Incarnation::from_u64(1)
}

pub(crate) fn other() -> id::Incarnation {
    id::Incarnation::from_u64(2)
}

pub(crate) fn uuid(created_ms: u64) -> uuid::Uuid {
    uuid::Builder::from_unix_timestamp_millis(created_ms, &[0; 10]).into_uuid()
}

pub(crate) fn chosen(created_ms: u64) -> id::RequestId {
    id::RequestId::chosen(uuid(created_ms))
}

pub(crate) fn arrival(id: Option<id::RequestId>) -> coordinate::Arrival {
    coordinate::Arrival { id, idempotent: true, attempt: 1, offset: 0, fingerprint: 9 }
}

pub(crate) fn conditions() -> coordinate::Conditions {
    coordinate::Conditions {
        own: own(),
        unix_ms: NOW_MS,
        service: coordinate::ServiceState::Up,
        isolated: false,
        stopping: false,
        policy: coordinate::OutagePolicy::Issued,
        retention_ms: RETENTION_MS,
        skew_ms: 5_000,
        local: None,
    }
}

pub(crate) fn initial_state(id: id::RequestId, maybe_retry: bool) -> coordinate::InitialState {
    coordinate::InitialState {
        key: id::RequestKey { account: "a".into(), id },
        fingerprint: 9,
        own: own(),
        nonce: NONCE,
        maybe_retry,
        resumable: true,
        offset: 0,
        retention_ms: RETENTION_MS,
    }
}

pub(crate) fn now(monotonic_ms: u64) -> coordinate::Now {
    coordinate::Now { monotonic: time::Timestamp::from_millis(monotonic_ms), unix_ms: NOW_MS }
}

pub(crate) fn permit(endpoint: &str) -> request::Permit {
    request::Permit {
        key: id::RequestKey { account: "a".into(), id: chosen(NOW_MS) },
        endpoint: endpoint.into(),
        ttl_ms: 100,
        scheduler: own(),
        cached_tokens: 0,
    }
}

pub(crate) fn intent(coordinator: id::Incarnation, nonce: u64) -> request::Record {
    request::Record::Intent(request::Intent {
        coordinator,
        nonce: id::Nonce(nonce),
        endpoint: "e1".into(),
        fingerprint: 9,
    })
}
