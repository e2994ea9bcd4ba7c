//! The connections that bring streams, and the starts of endpoints that accepted them.

use std::{collections, time};

use trefoildyke_types::{id, time::Timestamp};

/// How long an endpoint may take to write its entry after it has started to accept connections.
const REGISTRATION_TIME: time::Duration = time::Duration::from_millis(200);

/// A connection to an endpoint.
///
/// An endpoint may start again under its name with another version while the list still shows the start
/// before. A connection ends with the start that accepted it.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamSource {
    /// The endpoint.
    pub endpoint: id::EndpointName,
    /// When the connection was open.
    pub opened_at: Timestamp,
}

/// A [`StreamSource`] in a message.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct SourceReport {
    /// The endpoint.
    pub endpoint: id::EndpointName,
    /// How long ago the connection was opened, in milliseconds.
    pub age_ms: u32,
}

impl StreamSource {
    /// Returns the time from which on a query of the endpoint's entry shows the start that accepted the
    /// connection, or a later one.
    pub fn registered_by(&self) -> Timestamp {
        self.opened_at + REGISTRATION_TIME
    }

    /// Returns what another daemon is told.
    pub(super) fn report(&self, now: Timestamp) -> SourceReport {
        let age_ms = now.since(self.opened_at).as_millis();
        let age_ms = u32::try_from(age_ms).unwrap_or(u32::MAX);
        SourceReport { endpoint: self.endpoint.clone(), age_ms }
    }
}

impl SourceReport {
    /// Returns the connection of a message that was received at `now`.
    pub fn received(&self, now: Timestamp) -> StreamSource {
        let age_us = u64::from(self.age_ms) * 1_000;
        let opened_at = Timestamp::from_micros(now.as_micros().saturating_sub(age_us));
        StreamSource { endpoint: self.endpoint.clone(), opened_at }
    }
}

/// Queries of single entries, which show the version of an endpoint earlier than the next list does.
#[derive(Clone, Debug, Default)]
pub struct EntryChecks {
    /// When the last query of each entry was asked for.
    asked: collections::HashMap<id::EndpointName, Timestamp>,
    /// When the last answered query was sent, and the version in its answer; `None` if there was no entry.
    answers: collections::HashMap<id::EndpointName, (Timestamp, Option<id::VersionName>)>,
}

/// How long a query and its answer count.
const RETENTION: time::Duration = time::Duration::from_secs(10);

impl EntryChecks {
    /// Returns whether the entry of the endpoint of `source` is to be queried now: no query that was asked for
    /// after the endpoint's registration is under way or answered.
    pub fn begin(&mut self, now: Timestamp, source: &StreamSource) -> bool {
        if now < source.registered_by() {
            return false;
        }
        let asked = self.asked.get(&source.endpoint);
        if asked.is_some_and(|asked| *asked >= source.registered_by()) {
            return false;
        }
        self.asked.retain(|_, at| now.since(*at) < RETENTION);
        self.asked.insert(source.endpoint.clone(), now);
        true
    }

    /// Records the answer to a query that was sent at `queried_at`.
    pub fn record(
        &mut self,
        queried_at: Timestamp,
        endpoint: &id::EndpointName,
        version: Option<id::VersionName>,
    ) {
        self.answers.retain(|_, (at, _)| queried_at.since(*at) < RETENTION);
        self.answers.insert(endpoint.clone(), (queried_at, version));
    }

    /// Returns when the last answered query of an entry was sent, and the version in its answer.
    pub fn answer(
        &self,
        endpoint: &id::EndpointName,
    ) -> Option<&(Timestamp, Option<id::VersionName>)> {
        self.answers.get(endpoint)
    }
}
