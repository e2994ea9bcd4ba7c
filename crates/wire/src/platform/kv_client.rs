//! The client for the key-value service.

use std::time;

use hyper::{Method, StatusCode, header};
use trefoildyke_types::error;

use crate::{http, platform, platform::message};

/// The maximum number of entries that [`KvClient::list_all`] requests per page.
const PAGE_SIZE: usize = 500;

/// A client for the key-value service. Clones share connections and health.
///
/// Every write has a deadline; a read may take as long as its answer arrives without longer pauses. The error of a failed write says whether the write can have taken
/// effect: [`platform::WriteError::Unavailable`] means that it cannot.
#[derive(Clone, Debug)]
pub struct KvClient {
    http: http::Client,
    settings: platform::KvSettings,
    health: platform::HealthTracker,
}

type Reply = hyper::Response<bytes::Bytes>;

impl KvClient {
    /// Creates a client without connections.
    pub fn new(settings: platform::KvSettings) -> Self {
        let limits = http::ClientLimits {
            connect: settings.connect,
            local: settings.local,
            ..http::ClientLimits::default()
        };
        let health = platform::HealthTracker::default();
        Self { http: http::Client::new(limits), settings, health }
    }

    /// Returns a client that shares the connections and whose calls take at most `deadline`.
    #[must_use]
    pub fn at_most(mut self, deadline: time::Duration) -> Self {
        self.settings.deadline = self.settings.deadline.min(deadline);
        self
    }

    /// Returns when the service last answered, and since when calls to it have failed.
    pub fn health(&self) -> platform::Health {
        self.health.health()
    }

    /// Reads one key.
    ///
    /// Fails with kind `Unavailable` if the service does not answer or refuses the call for now, and with
    /// `Protocol` if the answer cannot be used.
    pub async fn get(&self, key: &str) -> Result<message::GetReply, error::Error> {
        self.read("/v1/get", &message::Get { key: key.to_owned() }).await
    }

    /// Reads one page of the keys below a prefix.
    ///
    /// Fails as [`Self::get`] does.
    pub async fn list(&self, list: &message::List) -> Result<message::ListReply, error::Error> {
        self.read("/v1/list", list).await
    }

    /// Reads all keys below a prefix, page by page, and the revision of the first page.
    ///
    /// A watch from that revision reports every change that the later pages may have missed. Fails
    /// as [`Self::get`] does.
    pub async fn list_all(&self, prefix: &str) -> Result<(Vec<message::Entry>, u64), error::Error> {
        let mut list =
            message::List { prefix: prefix.to_owned(), after: String::new(), limit: PAGE_SIZE };
        let first = self.list(&list).await?;
        let (mut entries, mut more) = (first.entries, first.more);
        while more {
            if let Some(last) = entries.last() {
                list.after.clone_from(&last.key);
            }
            let page = self.list(&list).await?;
            entries.extend(page.entries);
            more = page.more;
        }
        Ok((entries, first.revision))
    }

    /// Writes one key.
    pub async fn put(&self, put: &message::Put) -> Result<message::Written, platform::WriteError> {
        parse_written(&self.write("/v1/put", put).await?)
    }

    /// Deletes one key.
    pub async fn delete(
        &self,
        delete: &message::Delete,
    ) -> Result<message::Written, platform::WriteError> {
        parse_written(&self.write("/v1/delete", delete).await?)
    }

    /// Requests a lease that lasts `ttl` unless it is renewed.
    ///
    /// After an `Unsure` error a lease may exist whose number is unknown; it expires after `ttl`.
    pub async fn grant(
        &self,
        ttl: time::Duration,
    ) -> Result<message::LeaseNumber, platform::WriteError> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let reply = self.write("/v1/lease/grant", &message::Grant { ttl_ms }).await?;
        parse_written::<message::LeaseRef>(&reply).map(|granted| granted.lease)
    }

    /// Renews a lease for its time to live, which starts when the service handles the call.
    pub async fn renew(&self, lease: message::LeaseNumber) -> Result<(), platform::WriteError> {
        self.write("/v1/lease/renew", &message::LeaseRef { lease }).await.map(|_| ())
    }

    /// Revokes a lease, which deletes its keys.
    pub async fn revoke(&self, lease: message::LeaseNumber) -> Result<(), platform::WriteError> {
        self.write("/v1/lease/revoke", &message::LeaseRef { lease }).await.map(|_| ())
    }

    /// Waits for changes below a prefix.
    ///
    /// The call may take `wait_ms` longer than the deadline. The next watch starts after the
    /// answer's revision.
    pub async fn watch(
        &self,
        watch: &message::Watch,
    ) -> Result<message::WatchReply, platform::WatchError> {
        let deadline = self.settings.deadline + time::Duration::from_millis(watch.wait_ms);
        let timeouts = http::FetchTimeouts { head: deadline, pause: self.settings.deadline };
        let reply = self.fetch("/v1/watch", watch, timeouts).await;
        let reply = reply.map_err(|error| platform::WatchError::Failed(error.as_read_error()))?;
        if reply.status() == StatusCode::GONE {
            return Err(platform::WatchError::TooOld);
        }
        parse_read(&reply).map_err(platform::WatchError::Failed)
    }

    /// Closes idle connections and waits until all connections have ended.
    pub async fn close(self) {
        self.http.close().await;
    }

    async fn read<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        body: &impl serde::Serialize,
    ) -> Result<T, error::Error> {
        let timeouts = http::FetchTimeouts::new(self.settings.deadline);
        let reply = self.fetch(path, body, timeouts).await;
        parse_read(&reply.map_err(|error| error.as_read_error())?)
    }

    async fn write(
        &self,
        path: &str,
        body: &impl serde::Serialize,
    ) -> Result<Reply, platform::WriteError> {
        let deadline = self.settings.deadline;
        let reply = self.send(path, body, |request| self.http.call(request, deadline)).await;
        match reply {
            Ok(reply) => check_write(reply),
            Err(http::CallError::NotSent(detail)) => Err(platform::WriteError::Unavailable(detail)),
            Err(http::CallError::Lost(detail) | http::CallError::Unusable(detail)) => {
                Err(platform::WriteError::Unsure(detail))
            }
        }
    }

    async fn fetch(
        &self,
        path: &str,
        body: &impl serde::Serialize,
        timeouts: http::FetchTimeouts,
    ) -> Result<Reply, http::CallError> {
        self.send(path, body, |request| self.http.fetch(request, timeouts)).await
    }

    /// Sends a request by `send` and records whether the service has answered.
    async fn send<F>(
        &self,
        path: &str,
        body: &impl serde::Serialize,
        send: impl FnOnce(hyper::Request<bytes::Bytes>) -> F,
    ) -> Result<Reply, http::CallError>
    where
        F: Future<Output = Result<Reply, http::CallError>>,
    {
        let started = time::Instant::now();
        let uri = format!("http://{}{path}", self.settings.address);
        let request = http::json_request(Method::POST, &uri, body)
            .map_err(|error| http::CallError::NotSent(error.to_string()))?;
        let result = send(request).await;
        match &result {
            Ok(reply) if !reply.status().is_server_error() => self.health.record_answer(),
            _ => self.health.record_failure(started),
        }
        result
    }
}

fn check_write(reply: Reply) -> Result<Reply, platform::WriteError> {
    match reply.status() {
        StatusCode::OK => Ok(reply),
        StatusCode::CONFLICT => {
            let conflict: message::Conflict = parse_written(&reply)?;
            Err(platform::WriteError::Conflict(conflict.current.map(Box::new)))
        }
        StatusCode::NOT_FOUND => Err(platform::WriteError::LeaseGone),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Err(platform::WriteError::Unavailable(refusal_detail(&reply)))
        }
        status if status.is_client_error() => {
            let error = http::parse(&reply).unwrap_or_else(|_| {
                error::Error::new(error::ErrorKind::Protocol, format!("answered {status}"))
            });
            Err(platform::WriteError::Invalid(error))
        }
        status => Err(platform::WriteError::Unsure(format!("answered {status}"))),
    }
}

fn parse_written<T: serde::de::DeserializeOwned>(reply: &Reply) -> Result<T, platform::WriteError> {
    http::parse(reply).map_err(|error| platform::WriteError::Unsure(error.to_string()))
}

fn parse_read<T: serde::de::DeserializeOwned>(reply: &Reply) -> Result<T, error::Error> {
    match reply.status() {
        StatusCode::OK => http::parse(reply).map_err(|error| error.as_read_error()),
        StatusCode::TOO_MANY_REQUESTS => {
            Err(error::Error::new(error::ErrorKind::Unavailable, refusal_detail(reply)))
        }
        status if status.is_client_error() => {
            Err(error::Error::new(error::ErrorKind::Protocol, format!("answered {status}")))
        }
        status => {
            Err(error::Error::new(error::ErrorKind::Unavailable, format!("answered {status}")))
        }
    }
}

fn refusal_detail(reply: &Reply) -> String {
    let after = reply.headers().get(header::RETRY_AFTER).and_then(|value| value.to_str().ok());
    match after {
        Some(seconds) => format!("answered {}, retry after {seconds} s", reply.status()),
        None => format!("answered {}", reply.status()),
    }
}
