//! Log events, one variant for each kind of decision.

use trefoildyke_decide::gateway;
use trefoildyke_types::id;

use crate::{query, record::Outcome};

/// What a request asked for: the inputs of the decisions on its quota, rank and slot.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct RequestInputs {
    /// Identifies repeats of the same request; `None` if it was refused before it was read.
    pub fingerprint: Option<gateway::Fingerprint>,
    /// The parts of its prompt that other requests may share, in order.
    #[serde(serialize_with = "serialize_parts")]
    pub parts: Vec<gateway::PartKey>,
    /// The rank in the queue; `None` if it was refused before it had one.
    pub rank: Option<u8>,
    /// The length of its prompt in tokens.
    pub prompt: u32,
    /// The expected length of its answer in tokens.
    pub expected: u32,
    /// The cost charged to the account's quota, in the quota's unit.
    pub cost: u32,
    /// Whether its caller was refused before.
    pub returning: bool,
    /// The latency objective for the first event, in milliseconds.
    pub objective_ms: u64,
    /// The time allowed for the whole answer: the timeout of the route or `deadline_ms`, whichever is
    /// shorter, in milliseconds.
    pub limit_ms: u64,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: u64,
}

/// The measurements of a canary version.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct TrialStats {
    /// Requests that were placed since the canary started.
    pub placed: u64,
    /// Those of them that went to the new version.
    pub tried: u64,
    /// Answers of the version in force.
    pub usual_answers: u32,
    /// The failures among them.
    pub usual_failed: u32,
    /// Those among them that came far too late.
    pub usual_slow: u32,
    /// Answers of the new version.
    pub tried_answers: u32,
    /// The failures among them.
    pub tried_failed: u32,
    /// Those among them that came far too late.
    pub tried_slow: u32,
    /// The evidence that the new version is worse, as the logarithm of a likelihood ratio.
    pub evidence: Option<f64>,
}

/// A completed read of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub struct ConfigRead {
    /// The source.
    pub source: &'static str,
    /// The version that was read.
    pub version: u64,
    /// The size of the encoded configuration, in bytes.
    pub bytes: usize,
    /// The time from the call to the complete answer, in milliseconds.
    pub read_ms: u64,
    /// The time for decoding, in milliseconds.
    pub decode_ms: u64,
}

/// A decision about a request, or a change of the daemon's state.
#[derive(Clone, Debug, serde::Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The daemon has started.
    Started {
        /// The daemon's incarnation.
        incarnation: u64,
        /// Where it listens for callers.
        callers: std::net::SocketAddr,
    },
    /// A graceful stop has begun.
    Stopping {
        /// Requests in progress.
        active: usize,
    },
    /// The daemon stops.
    Stopped {
        /// Requests that were cut off.
        cut: usize,
        /// Log lines that were dropped since the start.
        dropped: u64,
    },
    /// The settings were read again.
    Reloaded {
        /// Whether anything changed, and what could not be applied.
        detail: String,
    },
    /// A dependency of the daemon does not answer.
    Lost {
        /// The dependency.
        dependency: &'static str,
        /// The reason.
        reason: String,
    },
    /// A dependency answers again.
    Regained {
        /// The dependency.
        dependency: &'static str,
        /// The length of the outage, in milliseconds.
        after_ms: u64,
    },
    /// A version of the configuration was put in force.
    Configured {
        /// The version.
        version: u64,
        /// The number of routes.
        routes: usize,
        /// The number of client accounts.
        accounts: usize,
        /// Whether requests need no API key, as there is no list of accounts.
        keyless: bool,
        /// The number of client accounts that could not be read.
        unreadable: usize,
        /// The number of names and keys of accounts that are listed more than once.
        duplicates: usize,
        /// The age of the version's confirmation, in milliseconds; `None` if it came without one.
        age_ms: Option<u64>,
    },
    /// A version of the configuration was read.
    ConfigRead {
        /// What was read, and how long it took.
        #[serde(flatten)]
        read: ConfigRead,
    },
    /// A version of the configuration that is known to be in force could not be read.
    ConfigReadFailed {
        /// The source.
        source: &'static str,
        /// The time since the read began, in milliseconds.
        after_ms: u64,
        /// The reason.
        reason: String,
    },
    /// An endpoint is listed, or its entry has changed.
    EndpointListed {
        /// The endpoint.
        endpoint: id::EndpointName,
        /// Its service.
        service: id::PoolName,
        /// The version of its software.
        version: id::VersionName,
        /// Whether the endpoint gets no new work.
        draining: bool,
    },
    /// The version that began a stream which a caller resumes was looked for.
    StreamOrigin {
        /// The request's id.
        id: String,
        /// The version; `None` if it cannot be told.
        version: Option<id::VersionName>,
        /// Whether a daemon had recorded it; otherwise it is the only version that it can be.
        is_recorded: bool,
        /// The number of other daemons that replied.
        replies: usize,
        /// How long it took, in milliseconds.
        after_ms: u64,
    },
    /// An endpoint has said in an answer that it is about to stop.
    EndpointLeaving {
        /// The endpoint.
        endpoint: id::EndpointName,
    },
    /// An endpoint has rejected a request and wants none from this host for a while.
    EndpointBackoff {
        /// The endpoint.
        endpoint: id::EndpointName,
        /// For how long, in milliseconds.
        backoff_ms: u64,
    },
    /// The rate limit that an endpoint reports has changed.
    EndpointRateLimit {
        /// The endpoint.
        endpoint: id::EndpointName,
        /// The limit in requests per second from all hosts combined; `None` if it was withdrawn.
        per_s: Option<f64>,
    },
    /// An endpoint is no longer listed.
    EndpointGone {
        /// The endpoint.
        endpoint: id::EndpointName,
    },
    /// What this daemon knows of the availability of the list's source has changed.
    ListAvailability {
        /// How long the source has answered, in milliseconds; `None` if it failed.
        steady_ms: Option<u64>,
        /// What this is based on.
        basis: &'static str,
        /// The reader that reported it; `None` if this daemon called the source itself.
        reader: Option<std::net::SocketAddr>,
    },
    /// Whether this daemon reads the store on behalf of the others has changed.
    Reader {
        /// Whether it does.
        is_reader: bool,
    },
    /// This daemon has begun or ceased to watch the configuration in the store.
    ConfigWatch {
        /// Whether it watches.
        watching: bool,
        /// Why it has ceased; `None` if it has begun.
        reason: Option<String>,
    },
    /// What the readers report of the configuration has changed.
    ReaderStatus {
        /// What they report.
        #[serde(flatten)]
        status: query::ReaderStatus,
        /// The age of this daemon's own confirmation, in milliseconds.
        age_ms: Option<u64>,
    },
    /// The list of members has changed.
    Members {
        /// The number of members, this daemon included.
        count: usize,
    },
    /// A message of another daemon was ignored.
    MessageIgnored {
        /// The reason.
        reason: &'static str,
    },
    /// Another daemon is not asked for a while.
    PeerDoubted {
        /// The daemon.
        peer: std::net::SocketAddr,
        /// The reason.
        reason: &'static str,
    },
    /// The readiness for new connections has changed.
    Ready {
        /// Whether the daemon is ready.
        ready: bool,
        /// The age of the last confirmation of the configuration, in milliseconds.
        age_ms: Option<u64>,
    },
    /// A request was sent to an endpoint.
    Sent {
        /// The id of the request.
        id: String,
        /// The endpoint.
        endpoint: id::EndpointName,
        /// The number of the send, from 1.
        send: u32,
        /// The prompt's tokens that the endpoint is assumed not to have cached.
        unread: u32,
        /// How long the request waited for the slot, in milliseconds.
        waited_ms: u64,
        /// The predicted time to the first event, in milliseconds.
        first_ms: u32,
        /// The requests assumed to run at the endpoint already, over all daemons.
        beside: u32,
        /// The age of the oldest digest on which that number is based, in milliseconds.
        age_ms: u32,
    },
    /// A send has failed.
    SendFailed {
        /// The id of the request.
        id: String,
        /// Identifies repeats of the same request.
        fingerprint: gateway::Fingerprint,
        /// The service, whose retry budget the repeats are counted in.
        service: id::PoolName,
        /// The endpoint.
        endpoint: id::EndpointName,
        /// The time since the send, in milliseconds.
        after_ms: u64,
        /// The kind of failure.
        failure: gateway::Failure,
        /// The number of endpoints that crashed under this request, as far as this daemon knows.
        ends: usize,
        /// The parts of the request's prompt that other requests may share, in order.
        #[serde(serialize_with = "serialize_parts")]
        parts: Vec<gateway::PartKey>,
        /// The number of parts of a stream that were forwarded before the failure.
        events: u32,
        /// What happened on the connection.
        detail: String,
        /// What is done next.
        next: gateway::RetryAction,
        /// Repeats this daemon has counted since its start in the window that allows the fewest more,
        /// including any granted for this failure.
        repeats: usize,
        /// Maximum number of repeats the retry budget allows this daemon in that window.
        repeat_limit: usize,
    },
    /// A request that was sent before got no slot at another endpoint.
    ResendRefused {
        /// The id of the request.
        id: String,
        /// The endpoint of the last send.
        endpoint: id::EndpointName,
        /// Why it got no slot.
        reason: &'static str,
        /// How long the refusal lasts, in milliseconds.
        retry_ms: u64,
    },
    /// An idle endpoint gets a request that is late or would be refused, in spite of the estimates for it.
    EndpointProbed {
        /// The service.
        service: id::PoolName,
        /// The endpoint, how long it was idle, and the estimates.
        #[serde(flatten)]
        probe: gateway::Probe,
    },
    /// Whether this daemon can open connections to endpoints has changed.
    Links {
        /// Whether it can open none.
        isolated: bool,
    },
    /// A request gets a connection to its endpoint through another daemon.
    Tunnel {
        /// The id of the request.
        id: String,
        /// The endpoint.
        endpoint: id::EndpointName,
        /// The other daemon.
        through: std::net::SocketAddr,
    },
    /// A connection to an endpoint that this daemon forwarded has ended.
    TunnelEnded {
        /// The daemon for which it was forwarded.
        peer: std::net::SocketAddr,
        /// The endpoint.
        endpoint: id::EndpointName,
        /// How long it was open, in milliseconds.
        total_ms: u64,
        /// Why it failed; `None` if one side closed it.
        error: Option<String>,
    },
    /// A request is quarantined: it is no longer sent to any endpoint, because endpoints crash under it.
    Quarantined {
        /// The fingerprint of the request.
        fingerprint: gateway::Fingerprint,
        /// The number of endpoints that crashed under the request.
        ends: usize,
    },
    /// A quarantined request may be sent again: an endpoint ran it, or endpoints that seemed to have
    /// crashed are alive, or another request explains their crashes, or the quarantine has expired.
    Released {
        /// The fingerprint of the request.
        fingerprint: gateway::Fingerprint,
    },
    /// Requests whose prompts have all of these parts are no longer sent to any endpoint, because endpoints
    /// crash under them.
    PartsQuarantined {
        /// The parts.
        #[serde(serialize_with = "serialize_parts")]
        parts: Vec<gateway::PartKey>,
        /// The number of endpoints that crashed under them, as far as this daemon knows.
        ends: usize,
    },
    /// Requests with these parts may be sent again.
    PartsReleased {
        /// The parts.
        #[serde(serialize_with = "serialize_parts")]
        parts: Vec<gateway::PartKey>,
    },
    /// A stage of a service's rollout of another version that is new to this daemon.
    Rollout {
        /// The rollout.
        #[serde(flatten)]
        rollout: gateway::Rollout,
        /// Whether this daemon decided the stage.
        decided: bool,
        /// The measurements on which the decision is based.
        #[serde(flatten)]
        seen: Option<TrialStats>,
    },
    /// A stream was resumed at another endpoint.
    Resumed {
        /// The id of the request.
        id: String,
        /// The endpoint where the stream broke off.
        endpoint: id::EndpointName,
        /// The id of the last event that was forwarded.
        after: String,
    },
    /// A request has ended.
    Ended {
        /// The id of the request.
        id: String,
        /// Its route; empty if none matched.
        route: String,
        /// The client account.
        account: Option<id::AccountName>,
        /// The version of the configuration that was applied.
        version: u64,
        /// What the request asked for; empty if it was refused before that was read.
        #[serde(flatten)]
        asked: RequestInputs,
        /// The other daemon that granted or refused its last slot, by its address for messages.
        placer: Option<std::net::SocketAddr>,
        /// How it ended, and by whom.
        #[serde(flatten)]
        outcome: Outcome,
        /// The status that was answered.
        status: u16,
        /// The endpoint of the last send.
        endpoint: Option<id::EndpointName>,
        /// The number of sends.
        sends: u32,
        /// The total time, in milliseconds.
        total_ms: u64,
        /// The time to the first byte of the answer, in milliseconds.
        first_ms: Option<u64>,
        /// The `Retry-After` that the caller got, in milliseconds.
        retry_ms: Option<u64>,
        /// The longest pause between two parts of a stream, in milliseconds.
        pause_ms: Option<u64>,
        /// The number of parts of a stream that were forwarded.
        events: u32,
        /// Whether the answer had neither a length nor chunks, so that it ended with its connection.
        unframed: bool,
    },
}

/// Serializes the keys of parts in their text form.
fn serialize_parts<S: serde::Serializer>(
    parts: &[gateway::PartKey],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_seq(parts.iter().map(ToString::to_string))
}
