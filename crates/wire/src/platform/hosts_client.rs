//! The client for the platform's host list.

use std::{net, time};

use hyper::StatusCode;
use trefoildyke_types::error;

use crate::{http, platform, platform::message};

/// A client for the platform's list of hosts. Clones share connections and health.
#[derive(Clone, Debug)]
pub struct HostsClient {
    http: http::Client,
    uri: String,
    deadline: time::Duration,
    health: platform::HealthTracker,
}

impl HostsClient {
    /// Creates a client without connections; the head of an answer and each part of its body may take
    /// `deadline`.
    pub fn new(address: net::SocketAddr, deadline: time::Duration) -> Self {
        Self {
            http: http::Client::default(),
            uri: format!("http://{address}/v1/hosts"),
            deadline,
            health: platform::HealthTracker::default(),
        }
    }

    /// Returns when the service last answered, and since when calls to it have failed.
    pub fn health(&self) -> platform::Health {
        self.health.health()
    }

    /// Reads the list.
    ///
    /// Fails with kind `Unavailable` if no answer arrives or its status is not 200, and with `Protocol` if
    /// the answer cannot be parsed.
    pub async fn list(&self) -> Result<message::HostList, error::Error> {
        let started = time::Instant::now();
        let result = self.read().await;
        match &result {
            Ok(_) => self.health.record_answer(),
            Err(_) => self.health.record_failure(started),
        }
        result
    }

    /// Closes idle connections and waits until all connections have ended.
    pub async fn close(self) {
        self.http.close().await;
    }

    async fn read(&self) -> Result<message::HostList, error::Error> {
        let request =
            hyper::Request::get(&self.uri).body(bytes::Bytes::new()).map_err(|error| {
                error::Error::new(error::ErrorKind::Invalid, error.to_string()).at("hosts.address")
            })?;
        let reply = self.http.fetch(request, http::FetchTimeouts::new(self.deadline)).await;
        let reply = reply.map_err(|error| error.as_read_error())?;
        if reply.status() != StatusCode::OK {
            let message = format!("answered {}", reply.status());
            return Err(error::Error::new(error::ErrorKind::Unavailable, message));
        }
        http::parse(&reply).map_err(|error| error.as_read_error())
    }
}
