//! The endpoints of a shard, by name and index.

use std::collections;

use trefoildyke_types::{id, time::Timestamp};

use crate::schedule::{self, fleet};

/// The endpoints of a shard; an endpoint keeps its index until it is removed.
#[derive(Clone, Debug, Default)]
pub(in crate::schedule) struct Fleet {
    indices: collections::HashMap<id::EndpointName, usize>,
    entries: Vec<Option<fleet::Endpoint>>,
}

impl Fleet {
    pub(in crate::schedule) fn index_of(&self, name: &id::EndpointName) -> Option<usize> {
        self.indices.get(name).copied()
    }

    pub(in crate::schedule) fn get(&self, index: usize) -> Option<&fleet::Endpoint> {
        self.entries.get(index)?.as_ref()
    }

    pub(in crate::schedule) fn get_mut(&mut self, index: usize) -> Option<&mut fleet::Endpoint> {
        self.entries.get_mut(index)?.as_mut()
    }

    pub(in crate::schedule) fn iter(&self) -> impl Iterator<Item = (usize, &fleet::Endpoint)> {
        let indexed = self.entries.iter().enumerate();
        indexed.filter_map(|(index, entry)| entry.as_ref().map(|endpoint| (index, endpoint)))
    }

    pub(in crate::schedule) fn iter_mut(
        &mut self,
    ) -> impl Iterator<Item = (usize, &mut fleet::Endpoint)> {
        let indexed = self.entries.iter_mut().enumerate();
        indexed.filter_map(|(index, entry)| entry.as_mut().map(|endpoint| (index, endpoint)))
    }

    /// Adds an endpoint or updates its description, and returns its index.
    pub(in crate::schedule) fn set(
        &mut self,
        info: &schedule::EndpointInfo,
        params: &schedule::Params,
        now: Timestamp,
    ) -> usize {
        if let Some(index) = self.index_of(&info.endpoint) {
            if let Some(endpoint) = self.get_mut(index) {
                endpoint.slots = info.slots.max(1);
                endpoint.leaving = false;
            }
            return index;
        }
        let index = self.free_index();
        self.entries[index] = Some(fleet::Endpoint::new(info, params, now));
        self.indices.insert(info.endpoint.clone(), index);
        index
    }

    pub(in crate::schedule) fn remove(&mut self, name: &id::EndpointName) -> Option<usize> {
        let index = self.indices.remove(name)?;
        self.entries[index] = None;
        Some(index)
    }

    /// Returns the token generation rate of all usable endpoints with all slots in use, in tokens
    /// per second.
    pub(in crate::schedule) fn capacity(&self) -> f64 {
        self.iter().map(|(_, endpoint)| endpoint.capacity()).sum()
    }

    /// Returns the median of the endpoints' slowdowns; 1 if there are no endpoints.
    pub(in crate::schedule) fn median_slowdown(&self) -> f64 {
        let mut all: Vec<_> = self.iter().map(|(_, e)| e.speed.slowdown()).collect();
        all.sort_by(f64::total_cmp);
        all.get(all.len() / 2).copied().unwrap_or(1.0)
    }

    fn free_index(&mut self) -> usize {
        if let Some(index) = self.entries.iter().position(Option::is_none) {
            return index;
        }
        self.entries.push(None);
        self.entries.len() - 1
    }
}
