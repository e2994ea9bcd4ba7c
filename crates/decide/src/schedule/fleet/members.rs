//! The endpoints of a shard by name and number.

use std::collections;

use trefoildyke_types::{id, time::Timestamp};

use crate::schedule::{self, fleet};

/// Holds the endpoints of a shard; an endpoint keeps its number while it is there.
#[derive(Clone, Debug, Default)]
pub(in crate::schedule) struct Fleet {
    numbers: collections::HashMap<id::EndpointName, usize>,
    slots: Vec<Option<fleet::Endpoint>>,
}

impl Fleet {
    pub(in crate::schedule) fn number(&self, name: &id::EndpointName) -> Option<usize> {
        self.numbers.get(name).copied()
    }

    pub(in crate::schedule) fn get(&self, number: usize) -> Option<&fleet::Endpoint> {
        self.slots.get(number)?.as_ref()
    }

    pub(in crate::schedule) fn get_mut(&mut self, number: usize) -> Option<&mut fleet::Endpoint> {
        self.slots.get_mut(number)?.as_mut()
    }

    pub(in crate::schedule) fn iter(&self) -> impl Iterator<Item = (usize, &fleet::Endpoint)> {
        let numbered = self.slots.iter().enumerate();
        numbered.filter_map(|(number, slot)| slot.as_ref().map(|endpoint| (number, endpoint)))
    }

    pub(in crate::schedule) fn iter_mut(
        &mut self,
    ) -> impl Iterator<Item = (usize, &mut fleet::Endpoint)> {
        let numbered = self.slots.iter_mut().enumerate();
        numbered.filter_map(|(number, slot)| slot.as_mut().map(|endpoint| (number, endpoint)))
    }

    /// Adds an endpoint, or takes in its new description, and returns its number.
    pub(in crate::schedule) fn set(
        &mut self,
        info: &schedule::EndpointInfo,
        params: &schedule::Params,
        now: Timestamp,
    ) -> usize {
        if let Some(number) = self.number(&info.endpoint) {
            if let Some(endpoint) = self.get_mut(number) {
                endpoint.slots = info.slots.max(1);
                endpoint.leaving = false;
            }
            return number;
        }
        let number = self.free_number();
        self.slots[number] = Some(fleet::Endpoint::new(info, params, now));
        self.numbers.insert(info.endpoint.clone(), number);
        number
    }

    pub(in crate::schedule) fn remove(&mut self, name: &id::EndpointName) -> Option<usize> {
        let number = self.numbers.remove(name)?;
        self.slots[number] = None;
        Some(number)
    }

    /// Returns how many tokens a second all endpoints generate with all slots in use.
    pub(in crate::schedule) fn capacity(&self) -> f64 {
        self.iter().map(|(_, endpoint)| endpoint.capacity()).sum()
    }

    /// Returns the middle one of the endpoints' slownesses; 1 if there are none.
    pub(in crate::schedule) fn median_slowness(&self) -> f64 {
        let mut all: Vec<_> = self.iter().map(|(_, e)| e.rates.slowness()).collect();
        all.sort_by(f64::total_cmp);
        all.get(all.len() / 2).copied().unwrap_or(1.0)
    }

    fn free_number(&mut self) -> usize {
        if let Some(number) = self.slots.iter().position(Option::is_none) {
            return number;
        }
        self.slots.push(None);
        self.slots.len() - 1
    }
}
