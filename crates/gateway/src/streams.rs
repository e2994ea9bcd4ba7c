//! Finds the versions that began the streams which callers resume, together with the other daemons.
//!
//! The keepers of a stream are told of its version before its first event goes out. They are asked when the
//! caller comes back to a daemon that does not know the stream.

use std::{net, sync::atomic, time};

use trefoildyke_decide::gateway;
use trefoildyke_types::{id, time::Timestamp};

use crate::{feed, ingress, pending_replies, record, state};

/// The number of other daemons that are asked: the keepers, and the daemon that began the stream if it comes
/// before them in their order.
const ASKED: usize = gateway::STREAM_KEEPERS + 1;

/// The number of streams in one message; at about 30 bytes each, they fit in one datagram.
const STREAMS_PER_MESSAGE: usize = 128;

/// The number of messages after which a handover is continued in the next gossip interval. Many daemons may
/// start at the same time.
const MESSAGES_PER_INTERVAL: usize = 2;

/// How long to wait for the replies before asking again. A datagram may be lost, and a small host may be busy
/// for some tens of milliseconds.
const REPLY_TIMEOUT: time::Duration = time::Duration::from_millis(60);

/// The period at which a request that waits for a newer list of endpoints looks for it.
const LIST_CHECK_PERIOD: time::Duration = time::Duration::from_millis(20);

/// How often a keeper that does not reply is asked.
const MAX_ROUNDS: usize = 2;

/// Questions to keepers that have not replied yet.
#[derive(Debug, Default)]
pub(crate) struct PendingOrigins {
    replies: pending_replies::PendingReplies<(), gateway::Origin>,
    next_number: atomic::AtomicU64,
}

impl feed::Feed {
    /// Returns whether this daemon is the one that stores the versions that were listed recently.
    pub fn stores_versions(&self) -> bool {
        self.stores_crashes()
    }

    /// Returns the versions that were listed recently, to be stored.
    pub fn recent_versions(&self) -> gateway::VersionsByService {
        self.shared.core().recent_versions.snapshot(self.now())
    }

    /// Loads the stored versions; `None` if there are none.
    pub fn load_versions(&self, stored: Option<&gateway::VersionsByService>) {
        let none = gateway::VersionsByService::new();
        self.shared.core().recent_versions.load(self.now(), stored.unwrap_or(&none));
    }
}

impl state::Shared {
    /// Records which version began a stream whose caller may come back until `ttl` has passed, and tells the
    /// keepers. `source` brought the stream, unless the version is certain.
    pub(crate) fn record_begun(
        &self,
        stream: gateway::StreamId,
        version: &id::VersionName,
        ttl: time::Duration,
        source: Option<gateway::StreamSource>,
    ) {
        let (now, mut core) = (self.now(), self.core());
        match source {
            Some(source) => core.begun_streams.assume(now, stream, version, ttl, source),
            None => core.begun_streams.record(now, stream, version, ttl),
        }
        core.check_begun_streams();
        let report = core.begun_streams.report(now, stream);
        let keepers = core.mesh.stream_keepers(stream, gateway::STREAM_KEEPERS);
        drop(core);
        if let Some(report) = report {
            self.send(&gateway::Message::Began { streams: vec![report] }, &keepers);
        }
    }

    /// Handles another daemon's report that streams have begun.
    pub(crate) fn handle_began(&self, streams: &[gateway::BegunStream]) {
        let (now, mut core) = (self.now(), self.core());
        for begun in streams {
            core.begun_streams.record_report(now, begun);
        }
        core.check_begun_streams();
    }

    /// Tells daemons that have become keepers of streams which versions began them.
    pub(crate) fn hand_over_streams(&self) {
        let mut sent = 0;
        while sent < MESSAGES_PER_INTERVAL {
            let now = self.now();
            let mut core = self.core();
            let Some((keeper, streams)) = core.next_handover(now) else { return };
            drop(core);
            for streams in streams.chunks(STREAMS_PER_MESSAGE) {
                self.send(&gateway::Message::Began { streams: streams.to_vec() }, &[keeper]);
                sent += 1;
            }
            self.metrics.streams_handed_over(streams.len() as u64);
        }
    }

    /// Handles another daemon's question which version began a stream.
    pub(crate) fn handle_ask_origin(
        &self,
        from: net::SocketAddr,
        number: u64,
        service: &id::PoolName,
        stream: gateway::StreamId,
    ) {
        let origin = self.own_origin(service, stream);
        self.send(&gateway::Message::Origin { number, origin }, &[from]);
    }

    /// Handles the reply of a keeper.
    pub(crate) fn handle_origin(&self, number: u64, origin: gateway::Origin) {
        // A reply that comes too late is not needed any more.
        let _ = self.origins.replies.complete(number, origin);
    }

    /// Returns the version that began a stream; `None` if it cannot be told.
    pub(crate) async fn find_origin(
        &self,
        call: &ingress::Call,
        stream: gateway::StreamId,
    ) -> Option<id::VersionName> {
        let service = &call.service;
        let started = self.now();
        let own = self.own_origin(service, stream);
        let mut origins = vec![own];
        let mut silent = self.core().mesh.stream_keepers(stream, ASKED);
        for _ in 0..MAX_ROUNDS {
            if silent.is_empty() || origins.iter().any(is_known) {
                break;
            }
            let replies = self.ask_keepers(&silent, service, stream).await;
            silent.retain(|keeper| replies.iter().all(|(from, _)| from != keeper));
            origins.extend(replies.into_iter().map(|(_, origin)| origin));
        }
        let replies = origins.len() - 1;
        let mut version = gateway::conclude(&origins);
        if version.is_none()
            && let Some((assumed, source)) = gateway::assumed(&origins)
        {
            let source = source.received(self.now());
            let is_certain = self.runs_version(&source, assumed, call.answer_due).await;
            version = is_certain.then(|| assumed.clone());
        } else if version.is_some() && !origins.iter().any(is_known) {
            let is_current = self.await_list(started).await;
            origins[0] = self.own_origin(service, stream);
            version = is_current.then(|| gateway::conclude(&origins)).flatten();
        }
        self.metrics.stream_resumed(version.is_some());
        self.journal.write(&record::Event::StreamOrigin {
            id: call.id.clone(),
            version: version.clone(),
            is_recorded: origins.iter().any(is_known),
            replies,
            after_ms: self.now().since(started).as_millis() as u64,
        });
        version
    }

    fn own_origin(&self, service: &id::PoolName, stream: gateway::StreamId) -> gateway::Origin {
        let (now, core) = (self.now(), self.core());
        core.begun_streams.origin(now, stream, || core.recent_versions.possible(now, service))
    }

    /// Waits until the list of endpoints is the answer to a query that was sent after `time`; returns whether
    /// it is.
    ///
    /// A version that came after an earlier query may have begun a stream at other daemons, and those that this
    /// one asks may have missed it, too.
    async fn await_list(&self, time: Timestamp) -> bool {
        while self.core().roster.queried() < Some(time) {
            if self.now().since(time) > self.settings.max_list_age {
                return false;
            }
            tokio::time::sleep(LIST_CHECK_PERIOD).await;
        }
        true
    }

    /// Asks the keepers at once, and returns the replies with their senders: all, or those up to the first that
    /// knows the version.
    async fn ask_keepers(
        &self,
        keepers: &[net::SocketAddr],
        service: &id::PoolName,
        stream: gateway::StreamId,
    ) -> Vec<(net::SocketAddr, gateway::Origin)> {
        use futures::StreamExt as _;
        let questions = keepers.iter().map(|keeper| {
            let number = self.origins.next_number.fetch_add(1, atomic::Ordering::Relaxed);
            let reply = self.origins.replies.register(self.now(), number, ());
            let service = service.clone();
            self.send(&gateway::Message::AskOrigin { number, service, stream }, &[*keeper]);
            async move { (*keeper, tokio::time::timeout(REPLY_TIMEOUT, reply).await) }
        });
        let mut replies: futures::stream::FuturesUnordered<_> = questions.collect();
        let mut origins = Vec::new();
        while let Some((keeper, reply)) = replies.next().await {
            let Ok(Ok(origin)) = reply else { continue };
            let is_found = is_known(&origin);
            origins.push((keeper, origin));
            if is_found {
                break;
            }
        }
        origins
    }
}

fn is_known(origin: &gateway::Origin) -> bool {
    matches!(origin, gateway::Origin::Known(_))
}
