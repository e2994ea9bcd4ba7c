//! The server of the operators' API.

use std::sync;

use hyper::header;
use tokio::sync::{Semaphore, SemaphorePermit, watch};
use trefoildyke_types::{error, id};
use trefoildyke_wire::{http, operators::message};

use crate::{
    config,
    operators::{Progress, Settings, Tokens, reply, routes},
    orders,
};

/// A function that returns the events after a sequence number.
pub type Events = sync::Arc<dyn Fn(u64) -> message::EventPage + Send + Sync>;

/// The identity of the daemon that answers.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The name of the daemon's host.
    pub host: id::HostName,
    /// The incarnation of the daemon's process.
    pub incarnation: id::Incarnation,
}

/// The server of the operators' API.
pub struct Api {
    pub(crate) settings: Settings,
    pub(crate) identity: Identity,
    pub(crate) tokens: Tokens,
    pub(crate) config: config::Handle,
    pub(crate) orders: orders::Handle,
    pub(crate) progress: watch::Receiver<Progress>,
    pub(crate) events: Events,
    changes: Semaphore,
    watches: Semaphore,
}

impl Api {
    /// Creates the server on top of the services that it exposes.
    pub fn new(
        settings: Settings,
        identity: Identity,
        tokens: Tokens,
        config: config::Handle,
        orders: orders::Handle,
        progress: watch::Receiver<Progress>,
        events: Events,
    ) -> Self {
        let changes = Semaphore::new(settings.changes);
        let watches = Semaphore::new(settings.watches);
        Self { settings, identity, tokens, config, orders, progress, events, changes, watches }
    }

    /// Returns the answer to one call.
    ///
    /// # Errors
    ///
    /// Never fails; [`http::Server`] requires the `Result`.
    pub async fn answer(
        self: sync::Arc<Self>,
        call: http::Call,
    ) -> Result<hyper::Response<http::Body>, http::Aborted> {
        let answer = match self.authorize(call.request.headers()) {
            Ok(()) => routes::answer(&self, call.request).await,
            Err(error) => Err(error),
        };
        Ok(answer.unwrap_or_else(|error| reply::error(&error)))
    }

    fn authorize(&self, headers: &hyper::HeaderMap) -> Result<(), error::Error> {
        let header = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
        let token = header.and_then(|value| value.strip_prefix("Bearer "));
        if token.is_some_and(|token| self.tokens.accepts(token)) {
            return Ok(());
        }
        Err(error::Error::new(
            error::ErrorKind::Unauthorized,
            "the operator token is missing or wrong",
        )
        .remedy("send `Authorization: Bearer TOKEN` with a token whose hash is in the settings"))
    }

    /// Returns a permit to make a change, which limits the bodies that are in memory at the same time.
    pub(crate) fn acquire_change_permit(&self) -> Result<SemaphorePermit<'_>, error::Error> {
        self.changes.try_acquire().map_err(|_| too_many("changes"))
    }

    /// Returns a permit to watch.
    pub(crate) fn acquire_watch_permit(&self) -> Result<SemaphorePermit<'_>, error::Error> {
        self.watches.try_acquire().map_err(|_| too_many("watches"))
    }
}

fn too_many(what: &str) -> error::Error {
    error::Error::new(error::ErrorKind::Unavailable, format!("too many {what} at once"))
        .remedy("try again or ask another daemon")
}
