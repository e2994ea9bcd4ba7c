//! What the operators' face is made of.

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

/// Returns the events after a sequence number.
pub type Events = sync::Arc<dyn Fn(u64) -> message::EventPage + Send + Sync>;

/// Names the daemon that answers.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The host.
    pub host: id::HostName,
    /// The life of the process.
    pub incarnation: id::Incarnation,
}

/// Answers operators.
pub struct Face {
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

impl Face {
    /// Creates the face over the services that it shows.
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

    /// Answers one call.
    ///
    /// # Errors
    ///
    /// Never; the type is what [`http::Server`] asks for.
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

    /// Takes a place for a change, so that bodies in memory stay bounded.
    pub(crate) fn enter_change(&self) -> Result<SemaphorePermit<'_>, error::Error> {
        self.changes.try_acquire().map_err(|_| busy("changes"))
    }

    /// Takes a place for a watch.
    pub(crate) fn enter_watch(&self) -> Result<SemaphorePermit<'_>, error::Error> {
        self.watches.try_acquire().map_err(|_| busy("watches"))
    }
}

fn busy(what: &str) -> error::Error {
    error::Error::new(error::ErrorKind::Unavailable, format!("too many {what} at once"))
        .remedy("try again or ask another daemon")
}
