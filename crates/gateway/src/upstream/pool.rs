//! Pool of idle connections to endpoints.

use std::{collections, sync, time};

use tokio::task;
use tokio_util::task as tokio_task;
use trefoildyke_types::id;

use crate::upstream;

/// How long a connection may be idle if the endpoint does not state a limit.
const DEFAULT_IDLE_LIMIT: time::Duration = time::Duration::from_secs(3);

/// Keeps connections for reuse. They are keyed by endpoint, so that an endpoint that reuses an address
/// never gets a connection of its predecessor.
pub(crate) struct ConnectionPool {
    idle: sync::Mutex<collections::HashMap<id::EndpointName, Vec<upstream::Connection>>>,
    drivers: tokio_task::TaskTracker,
}

impl ConnectionPool {
    pub(crate) fn new() -> Self {
        Self { idle: sync::Mutex::default(), drivers: tokio_task::TaskTracker::new() }
    }

    pub(crate) fn spawn(
        &self,
        driver: impl Future<Output = ()> + Send + 'static,
    ) -> task::AbortHandle {
        self.drivers.spawn(driver).abort_handle()
    }

    /// Returns the idle connection that was used last.
    pub(super) fn take(&self, endpoint: &id::EndpointName) -> Option<upstream::Connection> {
        let now = tokio::time::Instant::now();
        let mut idle = self.lock();
        let connections = idle.get_mut(endpoint)?;
        while let Some(connection) = connections.pop() {
            if connection.is_usable() && connection.idle_until.is_none_or(|until| now < until) {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose request has ended, unless `limit` idle ones are kept already.
    pub(crate) fn keep_idle(
        &self,
        endpoint: &id::EndpointName,
        mut connection: upstream::Connection,
        limit: usize,
    ) {
        if !connection.is_reusable() {
            return;
        }
        connection.idle_until =
            Some(tokio::time::Instant::now() + connection.idle_limit.unwrap_or(DEFAULT_IDLE_LIMIT));
        let mut idle = self.lock();
        let connections = idle.entry(endpoint.clone()).or_default();
        if connections.len() < limit {
            connections.push(connection);
        }
    }

    /// Closes the idle connections to an endpoint.
    pub(crate) fn forget(&self, endpoint: &id::EndpointName) {
        self.lock().remove(endpoint);
    }

    /// Closes all idle connections.
    pub(crate) fn forget_all(&self) {
        self.lock().clear();
    }

    /// Closes all idle connections and waits until every connection has ended.
    pub(crate) async fn close(&self) {
        self.forget_all();
        self.drivers.close();
        self.drivers.wait().await;
    }

    fn lock(
        &self,
    ) -> sync::MutexGuard<'_, collections::HashMap<id::EndpointName, Vec<upstream::Connection>>>
    {
        self.idle.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
