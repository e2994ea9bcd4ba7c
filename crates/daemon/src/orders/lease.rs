//! The lease in the key-value service, and the records of ended orders.

use std::{collections, time};

use trefoildyke_decide::orders;
use trefoildyke_types::{id, time::Timestamp};
use trefoildyke_wire::platform::{self, message};

use crate::orders::{LeaseClock, OrderRecord, keys};

/// The value of the lease key.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct LeaseHolder {
    incarnation: id::Incarnation,
    /// Distinguishes this attempt to acquire the lease from every other attempt.
    nonce: id::Nonce,
}

/// An acquired lease.
#[derive(Debug)]
pub(super) struct AcquiredLease {
    pub(super) lease: message::LeaseNumber,
    pub(super) token: u64,
    pub(super) call_start: Timestamp,
    /// The configuration version that was confirmed.
    pub(super) version: u64,
    /// Every order recorded as ended, with the revision of its record.
    pub(super) ended: collections::BTreeMap<orders::OrderKey, (OrderRecord, u64)>,
}

/// Tries to acquire the lease and to confirm the configuration version.
///
/// Returns `None` if another daemon has the lease, a higher version was confirmed before, or the
/// key-value service does not answer.
pub(super) async fn acquire(
    kv: &platform::KvClient,
    clock: &LeaseClock,
    incarnation: id::Incarnation,
    version: u64,
    ttl: time::Duration,
) -> Option<AcquiredLease> {
    let call_start = clock.now();
    let lease = kv.grant(ttl).await.ok()?;
    let acquired = acquire_key(kv, lease, incarnation, version).await;
    if acquired.is_none() {
        // If this fails as well, the lease expires.
        let _ = kv.revoke(lease).await;
    }
    let (token, ended) = acquired?;
    Some(AcquiredLease { lease, token, call_start, version, ended })
}

/// Writes the lease key, confirms the version, and reads the records of ended orders.
///
/// Returns the fencing token and the records.
async fn acquire_key(
    kv: &platform::KvClient,
    lease: message::LeaseNumber,
    incarnation: id::Incarnation,
    version: u64,
) -> Option<(u64, collections::BTreeMap<orders::OrderKey, (OrderRecord, u64)>)> {
    let token = put_holder(kv, lease, incarnation).await?;
    if confirm(kv, version).await != Confirmation::Confirmed {
        return None;
    }
    Some((token, read_ended(kv).await?))
}

/// The result of confirming a configuration version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Confirmation {
    Confirmed,
    /// A higher version was confirmed before.
    Superseded,
    /// Another daemon wrote first, or the key-value service does not answer.
    Failed,
}

/// Records a configuration version as the lowest with which a daemon may carry out orders.
pub(super) async fn confirm(kv: &platform::KvClient, version: u64) -> Confirmation {
    let Ok(reply) = kv.get(keys::VERSION).await else { return Confirmation::Failed };
    let (current, revision) = match &reply.entry {
        Some(entry) => (entry.value.parse().unwrap_or(u64::MAX), entry.revision),
        None => (0, 0),
    };
    if current >= version {
        return if current == version { Confirmation::Confirmed } else { Confirmation::Superseded };
    }
    let put = message::Put {
        key: keys::VERSION.to_owned(),
        value: version.to_string(),
        expect: Some(revision),
        lease: None,
    };
    match kv.put(&put).await {
        Ok(_) => Confirmation::Confirmed,
        Err(_) => Confirmation::Failed,
    }
}

/// Writes the lease key and returns its revision; reads the key back if the result is unsure.
async fn put_holder(
    kv: &platform::KvClient,
    lease: message::LeaseNumber,
    incarnation: id::Incarnation,
) -> Option<u64> {
    let holder = LeaseHolder { incarnation, nonce: id::Nonce(rand::random()) };
    let value = serde_json::to_string(&holder).ok()?;
    let put =
        message::Put { key: keys::HOLDER.to_owned(), value, expect: Some(0), lease: Some(lease) };
    match kv.put(&put).await {
        Ok(written) => Some(written.revision),
        Err(platform::WriteError::Unsure(_)) => {
            let entry = kv.get(keys::HOLDER).await.ok()?.entry?;
            let found = serde_json::from_str::<LeaseHolder>(&entry.value).ok()?;
            (found == holder).then_some(entry.revision)
        }
        Err(_) => None,
    }
}

async fn read_ended(
    kv: &platform::KvClient,
) -> Option<collections::BTreeMap<orders::OrderKey, (OrderRecord, u64)>> {
    let (entries, _) = kv.list_all(keys::ENDED).await.ok()?;
    let parse = |entry: message::Entry| {
        let record: OrderRecord = serde_json::from_str(&entry.value).ok()?;
        Some((record.key.clone(), (record, entry.revision)))
    };
    Some(entries.into_iter().filter_map(parse).collect())
}

/// Renews the lease.
pub(super) async fn renew(
    kv: &platform::KvClient,
    clock: &LeaseClock,
    lease: message::LeaseNumber,
) -> orders::Input {
    let call_start = clock.now();
    match kv.renew(lease).await {
        Ok(()) => orders::Input::Renewed { call_start },
        Err(platform::WriteError::LeaseGone) => orders::Input::LeaseGone,
        Err(_) => orders::Input::NotRenewed,
    }
}

/// Records how an order ended.
pub(super) async fn store_record(kv: &platform::KvClient, record: &OrderRecord) -> orders::Input {
    let key = record.key.clone();
    let Ok(value) = serde_json::to_string(record) else { return orders::Input::NotStored(key) };
    let put = message::Put { key: keys::ended(&key), value, expect: Some(0), lease: None };
    match kv.put(&put).await {
        Ok(_) | Err(platform::WriteError::Conflict(_)) => orders::Input::Stored(key),
        Err(_) => orders::Input::NotStored(key),
    }
}

/// Deletes the record of an order that the configuration no longer contains.
pub(super) async fn delete_record(kv: &platform::KvClient, key: &orders::OrderKey, revision: u64) {
    let delete = message::Delete { key: keys::ended(key), expect: Some(revision) };
    // If this fails, a later holder of the lease deletes the record.
    let _ = kv.delete(&delete).await;
}
