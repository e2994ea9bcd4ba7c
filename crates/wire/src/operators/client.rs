//! A client for the operator API.

use std::{net, sync::atomic, time};

use hyper::{Method, StatusCode, header};
use trefoildyke_types::{error, event, resource};

use crate::{http, operators::message};

/// The conditions of a long poll; it is answered when one of them holds or `wait_ms` is over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Watch {
    /// The root version must be higher than this.
    pub after: u64,
    /// The version that every live daemon has must be higher than this; `None` ignores it.
    pub in_force: Option<u64>,
    /// The version up to which all planned stops have ended must be higher than this; `None` ignores
    /// it.
    pub settled: Option<u64>,
    /// The longest time to wait, in milliseconds.
    pub wait_ms: u64,
}

/// A client for the operator API that tries the next daemon when one is unreachable or unavailable.
///
/// A change whose answer was lost is never sent to another daemon; the call fails with `Unsure`.
#[derive(Debug)]
pub struct Client {
    http: http::Client,
    daemons: Vec<net::SocketAddr>,
    token: String,
    deadline: time::Duration,
    /// The index of the daemon that answered last.
    last_answered: atomic::AtomicUsize,
}

impl Client {
    /// Creates a client of `daemons`, which are tried in the given order.
    ///
    /// # Errors
    ///
    /// Fails with `Invalid` if `daemons` is empty.
    pub fn new(
        daemons: Vec<net::SocketAddr>,
        token: &str,
        deadline: time::Duration,
    ) -> Result<Self, error::Error> {
        if daemons.is_empty() {
            return Err(error::Error::new(error::ErrorKind::Invalid, "no daemon is named")
                .remedy("name at least one with --daemon"));
        }
        let limits = http::ClientLimits { body: 64 << 20, ..http::ClientLimits::default() };
        let http = http::Client::new(limits);
        let token = token.to_owned();
        Ok(Self { http, daemons, token, deadline, last_answered: atomic::AtomicUsize::new(0) })
    }

    /// Returns one page of the resources of a kind, starting after the name `after`.
    ///
    /// # Errors
    ///
    /// Every call fails with the daemon's error, or with `Unavailable` if no daemon answers.
    pub async fn list(
        &self,
        kind: resource::Kind,
        after: &str,
    ) -> Result<message::ResourcePage, error::Error> {
        self.read(&format!("/v1/resources/{kind}?after={after}"), self.deadline).await
    }

    /// Returns one resource.
    ///
    /// # Errors
    ///
    /// As [`Self::list`], and `NotFound`.
    pub async fn get(
        &self,
        key: &resource::ResourceKey,
    ) -> Result<resource::Resource, error::Error> {
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_');
        if key.name.is_empty() || !key.name.chars().all(allowed) {
            return Err(error::Error::new(
                error::ErrorKind::NotFound,
                "no resource has such a name",
            )
            .about(key)
            .remedy("use letters, digits, `-`, `.` and `_`"));
        }
        self.read(&format!("/v1/resources/{key}"), self.deadline).await
    }

    /// Returns the state of the configuration.
    ///
    /// # Errors
    ///
    /// As [`Self::list`].
    pub async fn overview(&self) -> Result<message::Overview, error::Error> {
        self.read("/v1/status", self.deadline).await
    }

    /// Returns the state of the configuration as the daemon at `address` knows it.
    ///
    /// # Errors
    ///
    /// As [`Self::list`], but only this daemon is asked.
    pub async fn overview_of(
        &self,
        address: net::SocketAddr,
    ) -> Result<message::Overview, error::Error> {
        self.read_from(address, "/v1/status").await
    }

    /// Waits for changes.
    ///
    /// # Errors
    ///
    /// As [`Self::list`].
    pub async fn watch(&self, watch: &Watch) -> Result<message::Watched, error::Error> {
        let mut path = format!("/v1/watch?after={}&wait_ms={}", watch.after, watch.wait_ms);
        if let Some(version) = watch.in_force {
            path.push_str(&format!("&in_force={version}"));
        }
        if let Some(version) = watch.settled {
            path.push_str(&format!("&settled={version}"));
        }
        let deadline = self.deadline + time::Duration::from_millis(watch.wait_ms);
        self.read(&path, deadline).await
    }

    /// Returns one page of the events of the daemon at `address` after a sequence number.
    ///
    /// # Errors
    ///
    /// As [`Self::list`], but only this daemon is asked.
    pub async fn events(
        &self,
        address: net::SocketAddr,
        after: u64,
    ) -> Result<message::EventPage, error::Error> {
        self.read_from(address, &format!("/v1/events?after={after}")).await
    }

    /// Returns all events after a sequence number that the daemon at `address` still keeps.
    ///
    /// # Errors
    ///
    /// As [`Self::events`].
    pub async fn all_events(
        &self,
        address: net::SocketAddr,
        mut after: u64,
    ) -> Result<Vec<event::Event>, error::Error> {
        let mut events = Vec::new();
        loop {
            let page = self.events(address, after).await?;
            after = page.next;
            events.extend(page.events);
            if !page.more {
                return Ok(events);
            }
        }
    }

    /// Changes several resources at once; `body` is the body of `POST /v1/apply`.
    ///
    /// # Errors
    ///
    /// As [`Self::list`], and `Unsure` if the change may have been made.
    pub async fn apply(
        &self,
        body: &impl serde::Serialize,
    ) -> Result<message::Accepted, error::Error> {
        self.send_change(&Method::POST, "/v1/apply", body).await
    }

    async fn read_from<T: serde::de::DeserializeOwned>(
        &self,
        address: net::SocketAddr,
        path: &str,
    ) -> Result<T, error::Error> {
        let empty = bytes::Bytes::new();
        let reply = self.send(address, &Method::GET, path, &empty, self.deadline).await;
        parse(&reply.map_err(|error| error.as_read_error().about(&address))?)
    }

    async fn read<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        deadline: time::Duration,
    ) -> Result<T, error::Error> {
        let mut last_error = None;
        for address in self.by_preference() {
            let empty = bytes::Bytes::new();
            match self.send(address, &Method::GET, path, &empty, deadline).await {
                Ok(reply) if reply.status() == StatusCode::SERVICE_UNAVAILABLE => {
                    last_error = Some(parse::<T>(&reply).err().unwrap_or_else(no_answer));
                }
                Ok(reply) => return parse(&reply),
                Err(error) => last_error = Some(error.as_read_error().about(&address)),
            }
        }
        Err(last_error.unwrap_or_else(no_answer))
    }

    async fn send_change<T: serde::de::DeserializeOwned>(
        &self,
        method: &Method,
        path: &str,
        body: &impl serde::Serialize,
    ) -> Result<T, error::Error> {
        let text = serde_json::to_vec(body)
            .map_err(|error| error::Error::new(error::ErrorKind::Invalid, error.to_string()))?;
        let text = bytes::Bytes::from(text);
        let mut last_error = None;
        for address in self.by_preference() {
            match self.send(address, method, path, &text, self.deadline).await {
                Ok(reply) if reply.status() == StatusCode::SERVICE_UNAVAILABLE => {
                    last_error = Some(parse::<T>(&reply).err().unwrap_or_else(no_answer));
                }
                Ok(reply) => return parse(&reply),
                Err(error @ http::CallError::NotSent(_)) => {
                    last_error = Some(error.as_write_error().about(&address));
                }
                Err(error) => {
                    return Err(error
                        .as_write_error()
                        .about(&address)
                        .remedy("get the resources and compare before sending the change again"));
                }
            }
        }
        Err(last_error.unwrap_or_else(no_answer))
    }

    /// Returns the daemons, starting with the one that answered last.
    fn by_preference(&self) -> Vec<net::SocketAddr> {
        let mut daemons = self.daemons.clone();
        daemons.rotate_left(self.last_answered.load(atomic::Ordering::Relaxed));
        daemons
    }

    async fn send(
        &self,
        address: net::SocketAddr,
        method: &Method,
        path: &str,
        body: &bytes::Bytes,
        deadline: time::Duration,
    ) -> Result<hyper::Response<bytes::Bytes>, http::CallError> {
        let request = hyper::Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .header(header::CONTENT_TYPE, "application/json")
            .body(body.clone())
            .map_err(|error| http::CallError::NotSent(error.to_string()))?;
        let reply = self.http.call(request, deadline).await?;
        if let Some(index) = self.daemons.iter().position(|daemon| *daemon == address) {
            self.last_answered.store(index, atomic::Ordering::Relaxed);
        }
        Ok(reply)
    }
}

fn parse<T: serde::de::DeserializeOwned>(
    reply: &hyper::Response<bytes::Bytes>,
) -> Result<T, error::Error> {
    if reply.status().is_success() {
        return http::parse(reply).map_err(|error| error.as_read_error());
    }
    Err(http::parse(reply).unwrap_or_else(|_| {
        let message = format!("answered {} without a reason", reply.status());
        error::Error::new(error::ErrorKind::Protocol, message)
    }))
}

fn no_answer() -> error::Error {
    error::Error::new(error::ErrorKind::Unavailable, "no daemon answers")
}
