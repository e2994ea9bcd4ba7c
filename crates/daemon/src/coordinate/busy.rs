//! Which endpoints have requests of this daemon in progress.

use std::{collections, sync};

use trefoildyke_types::id;

type Counts = sync::Arc<sync::Mutex<collections::HashMap<id::EndpointName, usize>>>;

/// Counts the requests in progress at each endpoint.
#[derive(Clone, Default)]
pub(super) struct Busy(Counts);

/// Counts as one request in progress until dropped.
pub(super) struct Mark {
    counts: Counts,
    endpoint: id::EndpointName,
}

impl Busy {
    pub(super) fn mark(&self, endpoint: &id::EndpointName) -> Mark {
        *lock(&self.0).entry(endpoint.clone()).or_default() += 1;
        Mark { counts: sync::Arc::clone(&self.0), endpoint: endpoint.clone() }
    }

    pub(super) fn is_busy(&self, endpoint: &id::EndpointName) -> bool {
        lock(&self.0).contains_key(endpoint)
    }
}

impl Drop for Mark {
    fn drop(&mut self) {
        let mut counts = lock(&self.counts);
        if let Some(count) = counts.get_mut(&self.endpoint) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.endpoint);
            }
        }
    }
}

fn lock(counts: &Counts) -> sync::MutexGuard<'_, collections::HashMap<id::EndpointName, usize>> {
    counts.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
