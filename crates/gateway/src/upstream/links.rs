//! Idle connections to endpoints.

use std::{collections, net, sync, time};

use tokio::task;
use tokio_util::task as tokio_task;
use trefoildyke_types::id;

use crate::upstream;

/// How long a connection may be idle if the endpoint does not say.
const IDLE: time::Duration = time::Duration::from_secs(3);

/// Keeps connections for reuse, by endpoint, so that a used address never gets an old one.
pub(crate) struct Links {
    connect: time::Duration,
    idle: sync::Mutex<collections::HashMap<id::EndpointName, Vec<upstream::Link>>>,
    drivers: tokio_task::TaskTracker,
}

impl Links {
    pub(crate) fn new(connect: time::Duration) -> Self {
        let drivers = tokio_task::TaskTracker::new();
        Self { connect, idle: sync::Mutex::default(), drivers }
    }

    pub(super) fn spawn(
        &self,
        driver: impl Future<Output = ()> + Send + 'static,
    ) -> task::AbortHandle {
        self.drivers.spawn(driver).abort_handle()
    }

    /// Returns an idle connection, the one used last.
    pub(super) fn take(&self, endpoint: &id::EndpointName) -> Option<upstream::Link> {
        let now = tokio::time::Instant::now();
        let mut idle = self.lock();
        let links = idle.get_mut(endpoint)?;
        while let Some(link) = links.pop() {
            if link.is_usable() && link.idle_until.is_none_or(|until| now < until) {
                return Some(link);
            }
        }
        None
    }

    /// Opens a connection.
    pub(super) async fn open(&self, address: net::SocketAddr) -> std::io::Result<upstream::Link> {
        upstream::Link::open(self, address, self.connect).await
    }

    /// Keeps a connection whose request has ended, unless `limit` idle ones are kept already.
    pub(crate) fn keep(&self, endpoint: &id::EndpointName, mut link: upstream::Link, limit: usize) {
        if !link.is_reusable() {
            return;
        }
        link.idle_until = Some(tokio::time::Instant::now() + link.idle_limit.unwrap_or(IDLE));
        let mut idle = self.lock();
        let links = idle.entry(endpoint.clone()).or_default();
        if links.len() < limit {
            links.push(link);
        }
    }

    /// Closes the idle connections to an endpoint.
    pub(crate) fn forget(&self, endpoint: &id::EndpointName) {
        self.lock().remove(endpoint);
    }

    /// Closes all idle connections and waits until every connection has ended.
    pub(crate) async fn close(&self) {
        self.lock().clear();
        self.drivers.close();
        self.drivers.wait().await;
    }

    fn lock(
        &self,
    ) -> sync::MutexGuard<'_, collections::HashMap<id::EndpointName, Vec<upstream::Link>>> {
        self.idle.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
