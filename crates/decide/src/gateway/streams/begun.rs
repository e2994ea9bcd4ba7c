//! The streams whose version this daemon knows.

use std::{collections, time};

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway::{Origin, PossibleVersions, SourceReport, StreamId, StreamSource};

/// The maximum number of streams; at about 160 bytes each, they take 5 MB.
const MAX_STREAMS: usize = 32_768;

/// The versions that began streams whose callers may still come back.
#[derive(Clone, Debug, Default)]
pub struct BegunStreams {
    streams: collections::HashMap<StreamId, Begun>,
    /// The streams by expiry; has the same streams as `streams`.
    expiries: collections::BTreeSet<(Timestamp, StreamId)>,
    /// The streams whose version is assumed.
    assumed: collections::BTreeSet<StreamId>,
}

/// What one daemon tells another of a stream that has begun.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct BegunStream {
    /// The stream.
    pub stream: StreamId,
    /// The version that began it.
    pub version: id::VersionName,
    /// How long the caller may come back, in milliseconds.
    pub ttl_ms: u32,
    /// The connection that brought it, unless the version is certain.
    pub source: Option<SourceReport>,
}

#[derive(Clone, Debug)]
struct Begun {
    version: id::VersionName,
    certainty: Certainty,
    expires_at: Timestamp,
}

/// How certain the version of a stream is.
#[derive(Clone, Debug, PartialEq)]
enum Certainty {
    /// The version is certain.
    Certain,
    /// The version is that of the endpoint's entry, which may be older than the endpoint's last start.
    Assumed(StreamSource),
    /// The endpoint has started again with another version at about the time at which the stream began.
    Doubtful(StreamSource),
}

impl BegunStreams {
    /// Records which version is certain to have begun a stream whose caller may come back for a time of length
    /// `ttl`.
    ///
    /// The first version that is certain is kept. If there are too many streams, the one that expires first
    /// is dropped.
    pub fn record(
        &mut self,
        now: Timestamp,
        stream: StreamId,
        version: &id::VersionName,
        ttl: time::Duration,
    ) {
        self.insert(now, stream, version, ttl, Certainty::Certain);
    }

    /// Records which version has begun a stream if `source` still runs the version of its entry.
    pub fn assume(
        &mut self,
        now: Timestamp,
        stream: StreamId,
        version: &id::VersionName,
        ttl: time::Duration,
        source: StreamSource,
    ) {
        self.insert(now, stream, version, ttl, Certainty::Assumed(source));
    }

    /// Records what another daemon reports.
    pub fn record_report(&mut self, now: Timestamp, report: &BegunStream) {
        let ttl = time::Duration::from_millis(u64::from(report.ttl_ms));
        let source = report.source.as_ref().map(|source| source.received(now));
        let certainty = source.map_or(Certainty::Certain, Certainty::Assumed);
        self.insert(now, report.stream, &report.version, ttl, certainty);
    }

    fn insert(
        &mut self,
        now: Timestamp,
        stream: StreamId,
        version: &id::VersionName,
        ttl: time::Duration,
        certainty: Certainty,
    ) {
        self.expire(now);
        let expires_at = now + ttl;
        let new = || Begun { version: version.clone(), certainty: certainty.clone(), expires_at };
        let begun = self.streams.entry(stream).or_insert_with(new);
        if certainty == Certainty::Certain && begun.certainty != Certainty::Certain {
            begun.version = version.clone();
            begun.certainty = certainty;
        }
        if matches!(begun.certainty, Certainty::Assumed(_)) {
            self.assumed.insert(stream);
        } else {
            self.assumed.remove(&stream);
        }
        self.expiries.remove(&(begun.expires_at, stream));
        begun.expires_at = begun.expires_at.max(expires_at);
        self.expiries.insert((begun.expires_at, stream));
        if self.streams.len() > MAX_STREAMS {
            self.drop_first();
        }
    }

    /// Checks the versions that are assumed against the list of endpoints.
    ///
    /// `listed` returns the version under which an endpoint is listed, if the list is certain to show the start
    /// that accepted a connection, and `None` as long as it is not.
    pub fn check(&mut self, listed: impl Fn(&StreamSource) -> Option<Option<id::VersionName>>) {
        let streams = &mut self.streams;
        self.assumed.retain(|stream| {
            let Some(begun) = streams.get_mut(stream) else { return false };
            let Certainty::Assumed(source) = &begun.certainty else { return false };
            let Some(version) = listed(source) else { return true };
            let is_same = version.is_none_or(|version| version == begun.version);
            begun.certainty =
                if is_same { Certainty::Certain } else { Certainty::Doubtful(source.clone()) };
            false
        });
    }

    /// Returns the version that began a stream, if it is certain.
    pub fn version(&self, now: Timestamp, stream: StreamId) -> Option<&id::VersionName> {
        let begun = self.streams.get(&stream)?;
        let is_certain = begun.certainty == Certainty::Certain;
        (is_certain && begun.expires_at > now).then_some(&begun.version)
    }

    /// Returns what this daemon knows of the version that began a stream; `possible` returns the versions that
    /// may have begun a stream of which it knows nothing.
    pub fn origin(
        &self,
        now: Timestamp,
        stream: StreamId,
        possible: impl FnOnce() -> PossibleVersions,
    ) -> Origin {
        let begun = self.streams.get(&stream).filter(|begun| begun.expires_at > now);
        let Some(begun) = begun else { return Origin::Unknown(possible()) };
        let version = begun.version.clone();
        match &begun.certainty {
            Certainty::Certain => Origin::Known(version),
            Certainty::Assumed(source) => Origin::Assumed { version, source: source.report(now) },
            Certainty::Doubtful(_) => Origin::Doubtful,
        }
    }

    /// Returns the streams whose callers may still come back.
    pub fn running(&self, now: Timestamp) -> impl Iterator<Item = StreamId> {
        let running = self.streams.iter().filter(move |(_, begun)| begun.expires_at > now);
        running.map(|(stream, _)| *stream)
    }

    /// Returns what another daemon is told of a stream, if it is known.
    pub fn report(&self, now: Timestamp, stream: StreamId) -> Option<BegunStream> {
        let begun = self.streams.get(&stream)?;
        let ttl_ms = begun.expires_at.since(now).as_millis();
        let source = match &begun.certainty {
            Certainty::Certain => None,
            Certainty::Assumed(source) | Certainty::Doubtful(source) => Some(source.report(now)),
        };
        Some(BegunStream {
            stream,
            version: begun.version.clone(),
            ttl_ms: u32::try_from(ttl_ms).unwrap_or(u32::MAX),
            source,
        })
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    fn expire(&mut self, now: Timestamp) {
        while self.expiries.first().is_some_and(|(expires_at, _)| *expires_at <= now) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if let Some((_, stream)) = self.expiries.pop_first() {
            self.streams.remove(&stream);
            self.assumed.remove(&stream);
        }
    }
}
