//! The versions that were listed recently.

use std::{collections, time};

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway::{self, PossibleVersions};

/// The versions of each service that may have begun streams that still go on.
///
/// A version counts for a time, the retention, after its last endpoint is gone. The set is stored, so that
/// it is known after the loss of all daemons.
#[derive(Clone, Debug)]
pub struct RecentVersions {
    /// How long streams last at most.
    retention: time::Duration,
    /// The time between two queries of the list after which a version may have come and gone unseen.
    max_gap: time::Duration,
    services: collections::BTreeMap<id::PoolName, collections::BTreeMap<id::VersionName, Presence>>,
    /// Since when this daemon has followed the list of endpoints.
    listed_since: Option<Timestamp>,
    /// Whether the stored set was read, and the list has been followed without a gap since.
    is_loaded: bool,
    /// When the query was sent that returned the last list.
    queried_at: Option<Timestamp>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Presence {
    Listed,
    /// No endpoint of the version has been listed since this time.
    GoneSince(Timestamp),
}

impl RecentVersions {
    /// Creates an empty set. Streams last for `retention` at most; the list of endpoints is queried again within
    /// `max_gap`.
    pub const fn new(retention: time::Duration, max_gap: time::Duration) -> Self {
        let services = collections::BTreeMap::new();
        Self {
            retention,
            max_gap,
            services,
            listed_since: None,
            is_loaded: false,
            queried_at: None,
        }
    }

    /// Records that the list is the answer to a query that was sent at `queried_at`.
    ///
    /// After a gap the set counts as incomplete, as if this daemon had just begun to follow the list.
    pub fn note_query(&mut self, queried_at: Timestamp) {
        let last = self.queried_at;
        self.queried_at = last.max(Some(queried_at));
        if last.is_some_and(|last| queried_at.since(last) > self.max_gap) {
            self.listed_since = Some(queried_at);
            self.is_loaded = false;
        }
    }

    /// Updates the set from the list of all endpoints.
    pub fn note_listed<'a>(
        &mut self,
        now: Timestamp,
        entries: impl Iterator<Item = &'a gateway::RosterEntry>,
    ) {
        self.listed_since.get_or_insert(now);
        for presence in self.services.values_mut().flat_map(|versions| versions.values_mut()) {
            if *presence == Presence::Listed {
                *presence = Presence::GoneSince(now);
            }
        }
        for entry in entries {
            let versions = self.services.entry(entry.service.clone()).or_default();
            versions.insert(entry.version.clone(), Presence::Listed);
        }
        self.expire(now);
    }

    /// Adds the stored set.
    pub fn load(&mut self, now: Timestamp, stored: &gateway::VersionsByService) {
        self.is_loaded = true;
        for (service, versions) in stored {
            let known = self.services.entry(service.clone()).or_default();
            for version in versions {
                known.entry(version.clone()).or_insert(Presence::GoneSince(now));
            }
        }
    }

    /// Returns the set to be stored.
    pub fn snapshot(&mut self, now: Timestamp) -> gateway::VersionsByService {
        self.expire(now);
        let versions = |versions: &collections::BTreeMap<id::VersionName, Presence>| {
            versions.keys().cloned().collect()
        };
        let services = self.services.iter();
        services.map(|(service, known)| (service.clone(), versions(known))).collect()
    }

    /// Returns the versions of a service that may have begun a stream whose caller comes back now.
    pub fn possible(&self, now: Timestamp, service: &id::PoolName) -> PossibleVersions {
        let known = self.services.get(service).into_iter().flatten();
        let recent = known.filter(|(_, presence)| !presence.is_over(now, self.retention));
        let is_followed = self.queried_at.is_some_and(|at| now.since(at) <= self.max_gap);
        let is_known = self.is_loaded
            || self.listed_since.is_some_and(|since| now.since(since) >= self.retention);
        PossibleVersions {
            versions: recent.map(|(version, _)| version.clone()).collect(),
            is_complete: is_followed && is_known,
        }
    }

    fn expire(&mut self, now: Timestamp) {
        let retention = self.retention;
        for versions in self.services.values_mut() {
            versions.retain(|_, presence| !presence.is_over(now, retention));
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }
}

impl Presence {
    /// Returns whether the version has been gone for `retention`, so that no stream of it goes on.
    fn is_over(self, now: Timestamp, retention: time::Duration) -> bool {
        matches!(self, Self::GoneSince(since) if now.since(since) >= retention)
    }
}
