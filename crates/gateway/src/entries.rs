//! Queries of the entries of single endpoints.
//!
//! An endpoint may have started again under its name with another version since the list was read. A query of
//! its entry tells sooner than the next list which version accepted a connection.

use std::{collections, sync, time};

use trefoildyke_decide::gateway;
use trefoildyke_types::{id, time::Timestamp};

use crate::{feed, state};

/// How long to wait for the version of an endpoint after it must have registered; a call to the store may
/// take 600 ms.
const CHECK_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// The period at which a waiting request looks for the answer.
const CHECK_PERIOD: time::Duration = time::Duration::from_millis(10);

/// The endpoints whose entries are to be queried.
#[derive(Debug, Default)]
pub(crate) struct EntryQueries {
    waiting: sync::Mutex<collections::VecDeque<id::EndpointName>>,
    added: tokio::sync::Notify,
}

impl EntryQueries {
    fn lock(&self) -> sync::MutexGuard<'_, collections::VecDeque<id::EndpointName>> {
        self.waiting.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn add(&self, endpoint: &id::EndpointName) {
        self.lock().push_back(endpoint.clone());
        self.added.notify_one();
    }
}

impl feed::Feed {
    /// Waits until the entry of an endpoint is to be queried, and returns the endpoint.
    ///
    /// Only one task may wait at a time.
    pub async fn next_entry_query(&self) -> id::EndpointName {
        loop {
            if let Some(endpoint) = self.shared.entry_queries.lock().pop_front() {
                return endpoint;
            }
            self.shared.entry_queries.added.notified().await;
        }
    }

    /// Records the answer to a query of an endpoint's entry that was sent at `queried_at`: its version, or
    /// `None` if there is no entry.
    pub fn record_entry(
        &self,
        queried_at: Timestamp,
        endpoint: &id::EndpointName,
        version: Option<id::VersionName>,
    ) {
        let mut core = self.shared.core();
        core.entry_checks.record(queried_at, endpoint, version);
        core.check_begun_streams();
    }

    /// Returns the version under which an endpoint is listed.
    pub fn listed_version(&self, endpoint: &id::EndpointName) -> Option<id::VersionName> {
        let core = self.shared.core();
        core.roster.entry(endpoint).map(|entry| entry.version.clone())
    }
}

impl state::Shared {
    /// Returns whether the endpoint that accepted the connection `source` is certain to run `version`.
    ///
    /// Waits, until `until` at most, for a list, or else for the endpoint's entry, that was queried after the
    /// endpoint must have registered. An endpoint that is not listed has not started again, as it would be
    /// listed.
    pub(crate) async fn runs_version(
        &self,
        source: &gateway::StreamSource,
        version: &id::VersionName,
        until: Timestamp,
    ) -> bool {
        let end = self.now().max(source.registered_by()) + CHECK_TIMEOUT;
        let end = end.min(until);
        loop {
            if let Some(listed) = self.core().listed_version(source) {
                return listed.is_none_or(|listed| listed == *version);
            }
            let now = self.now();
            if now >= end {
                return false;
            }
            if self.core().entry_checks.begin(now, source) {
                self.metrics.entry_queried();
                self.entry_queries.add(&source.endpoint);
            }
            tokio::time::sleep(CHECK_PERIOD).await;
        }
    }
}
