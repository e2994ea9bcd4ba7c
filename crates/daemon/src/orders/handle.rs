//! The handle through which other services read how orders ended.

use std::{collections, sync};

use tokio::sync::watch;
use trefoildyke_decide::{config, members, orders as decisions};
use trefoildyke_types::{error, id};
use trefoildyke_wire::platform::{self, message};

use crate::orders::{self, keys};

/// Reads how orders ended.
#[derive(Clone, Debug)]
pub struct Handle {
    kv: platform::KvClient,
}

/// The inputs of the service.
#[derive(Clone, Debug)]
pub struct Sources {
    /// The configuration in force.
    pub config: watch::Receiver<sync::Arc<config::Snapshot>>,
    /// The members, one of which carries out orders.
    pub view: watch::Receiver<sync::Arc<members::View>>,
}

/// Creates the handle for the other services, and the service; the caller runs the service.
pub fn new(
    settings: orders::Settings,
    kv: platform::KvClient,
    incarnation: id::Incarnation,
    sources: Sources,
) -> (Handle, orders::Service) {
    let service = orders::Service::new(settings, kv.clone(), incarnation, sources);
    (Handle::new(kv), service)
}

impl Handle {
    /// Creates a handle that reads the records of every daemon's service.
    pub const fn new(kv: platform::KvClient) -> Self {
        Self { kv }
    }

    /// Returns how an order ended, or `None` if it has not ended.
    ///
    /// Takes one read of the key-value service. Fails with kind `Unavailable` if the key-value service
    /// does not answer.
    pub async fn record(
        &self,
        key: &decisions::OrderKey,
    ) -> Result<Option<orders::OrderRecord>, error::Error> {
        let entry = self.kv.get(&keys::ended(key)).await?.entry;
        entry.as_ref().map(parse).transpose()
    }

    /// Returns the records of all orders that have ended.
    ///
    /// Takes one read of the key-value service for each 500 orders. Fails as [`Self::record`] does.
    pub async fn all_records(
        &self,
    ) -> Result<collections::BTreeMap<decisions::OrderKey, orders::OrderRecord>, error::Error> {
        let (entries, _) = self.kv.list_all(keys::ENDED).await?;
        let records = entries.iter().map(parse);
        records.map(|record| record.map(|record| (record.key.clone(), record))).collect()
    }
}

fn parse(entry: &message::Entry) -> Result<orders::OrderRecord, error::Error> {
    serde_json::from_str(&entry.value).map_err(|error| {
        error::Error::new(error::ErrorKind::Protocol, error.to_string()).about(&entry.key)
    })
}
