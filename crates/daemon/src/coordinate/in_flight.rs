//! Counts of this daemon's requests in progress at each endpoint.

use std::{collections, sync};

use trefoildyke_types::id;

type Counts = sync::Arc<sync::Mutex<collections::HashMap<id::EndpointName, usize>>>;

/// Counts of this daemon's requests in progress at each endpoint. Clones share the counts.
#[derive(Clone, Default)]
pub(super) struct InFlight(Counts);

/// A guard that counts as one request in progress until it is dropped.
pub(super) struct Guard {
    counts: Counts,
    endpoint: id::EndpointName,
}

impl InFlight {
    pub(super) fn track(&self, endpoint: &id::EndpointName) -> Guard {
        *lock(&self.0).entry(endpoint.clone()).or_default() += 1;
        Guard { counts: sync::Arc::clone(&self.0), endpoint: endpoint.clone() }
    }

    pub(super) fn is_busy(&self, endpoint: &id::EndpointName) -> bool {
        lock(&self.0).contains_key(endpoint)
    }
}

impl Drop for Guard {
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
