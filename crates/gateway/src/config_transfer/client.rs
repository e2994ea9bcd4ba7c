//! Fetches the configuration from other daemons.

use std::{net, time};

use bytes::Bytes;
use hyper::StatusCode;
use rand::seq::SliceRandom as _;
use trefoildyke_decide::gateway;
use trefoildyke_types::time::Timestamp;
use trefoildyke_wire::http;

use crate::{config_transfer, feed, record};

/// The name of this source of the configuration, for logs and metrics.
const PEER: &str = "peer";

/// How long it may take to open a connection: forty round trips within a region.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// How long the head or the next part of an answer may take. The links of both hosts also carry requests.
const REPLY_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// How long to look for a daemon that has the version and is not busy. After that, the store is read, which
/// transfers more but serves any number of daemons at once.
const SEARCH_TIME: time::Duration = time::Duration::from_millis(1_500);

/// The mean delay before daemons that were busy are asked again, in milliseconds.
const BUSY_DELAY_MS: u64 = 60;

/// The answer of another daemon.
enum Answer {
    /// The version that it has was put in force here.
    Applied(u64),
    /// It has no newer version.
    NotNewer,
    /// It is busy; these daemons may have the version.
    Busy(Vec<net::SocketAddr>),
}

/// The reason why a fetch has failed.
#[derive(Debug, thiserror::Error)]
enum FetchError {
    #[error(transparent)]
    Call(#[from] http::CallError),
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("unreadable: {0}")]
    Unreadable(#[from] rmp_serde::decode::Error),
    #[error("the patch is not used: {0}")]
    Patch(#[from] gateway::PatchError),
}

/// Creates the client of a daemon. It keeps no connections, as it needs them only when a version is new.
pub(super) fn new_client() -> http::Client {
    http::Client::new(http::ClientLimits {
        connect: CONNECT_TIMEOUT,
        pooled: 0,
        ..http::ClientLimits::default()
    })
}

impl feed::Feed {
    /// Fetches a version that readers have reported to be in force from the daemons that have it; returns
    /// the version that is then in force here, or `None` if the store has to be read instead.
    ///
    /// The readers and the daemons to which busy readers refer are asked until one has the version.
    pub async fn fetch_config(&self, version: u64) -> Option<u64> {
        let end = tokio::time::Instant::now() + SEARCH_TIME;
        let own = self.shared.settings.listen.peers;
        let mut holders: Vec<net::SocketAddr> = Vec::new();
        loop {
            let mut sources = std::mem::take(&mut holders);
            sources.shuffle(&mut rand::rng());
            sources.extend(self.shared.core().mesh.readers_to_ask(self.now()));
            let mut is_busy = false;
            for source in sources {
                match self.fetch_from(source).await {
                    Some(Answer::Applied(applied)) if applied >= version => return Some(applied),
                    Some(Answer::Busy(others)) => {
                        is_busy = true;
                        holders.extend(others.into_iter().filter(|other| *other != own));
                    }
                    Some(Answer::Applied(_) | Answer::NotNewer) | None => {}
                }
            }
            if !is_busy || tokio::time::Instant::now() >= end {
                return None;
            }
            let delay = rand::random_range(BUSY_DELAY_MS / 2..=BUSY_DELAY_MS * 3 / 2);
            tokio::time::sleep(time::Duration::from_millis(delay)).await;
        }
    }

    /// Fetches what this daemon lacks from `source`; logs a failure.
    async fn fetch_from(&self, source: net::SocketAddr) -> Option<Answer> {
        let sent_at = self.now();
        let table = self.shared.core().table.clone();
        let base = table.as_ref().map(|table| table.config());
        let mut answer = self.request(source, base).await;
        if matches!(answer, Err(FetchError::Patch(_))) {
            // The daemon has another configuration of the same version, so all of it is needed.
            answer = self.request(source, None).await;
        }
        let log_failure = |error: &FetchError| {
            let after = self.now().since(sent_at);
            self.log_config_failure(PEER, after, format!("{source}: {error}"));
        };
        answer.inspect_err(log_failure).ok()
    }

    /// Requests what leads from `base` to the version that `source` has, and applies it.
    async fn request(
        &self,
        source: net::SocketAddr,
        base: Option<&gateway::Config>,
    ) -> Result<Answer, FetchError> {
        let sent_at = self.now();
        let own = self.shared.settings.listen.peers;
        let since = base.map(|base| format!("&since={}", base.version)).unwrap_or_default();
        let uri = format!("http://{source}{}?member={own}{since}", config_transfer::PATH);
        let request = hyper::Request::get(uri)
            .body(Bytes::new())
            .map_err(|error| http::CallError::NotSent(error.to_string()))?;
        let client = &self.shared.transfers.client;
        let reply = client.fetch(request, http::FetchTimeouts::new(REPLY_TIMEOUT)).await?;
        match reply.status() {
            StatusCode::OK => self.apply(sent_at, reply.body(), base),
            StatusCode::NO_CONTENT => Ok(Answer::NotNewer),
            StatusCode::SERVICE_UNAVAILABLE => {
                Ok(Answer::Busy(rmp_serde::from_slice(reply.body())?))
            }
            status => Err(FetchError::Status(status)),
        }
    }

    /// Applies a patch that was requested at `sent_at`.
    fn apply(
        &self,
        sent_at: Timestamp,
        patch: &Bytes,
        base: Option<&gateway::Config>,
    ) -> Result<Answer, FetchError> {
        let received_at = self.now();
        let config = rmp_serde::from_slice::<gateway::ConfigPatch>(patch)?.apply(base)?;
        let ms = |length: time::Duration| length.as_millis() as u64;
        let version = config.version;
        self.log_config_read(record::ConfigRead {
            source: PEER,
            version,
            bytes: patch.len(),
            read_ms: ms(received_at.since(sent_at)),
            decode_ms: ms(self.now().since(received_at)),
        });
        self.configure(config, None);
        Ok(Answer::Applied(version))
    }
}
