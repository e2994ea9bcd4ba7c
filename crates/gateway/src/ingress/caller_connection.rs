//! What a connection of a caller shares with the requests on it.

use std::{io, mem, sync};

use crate::{ingress, record};

/// Why a connection of a caller has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The caller has closed or reset it.
    Caller,
    /// The end of a graceful stop has cut it off.
    Stop,
    /// It has failed, and neither side was seen to close it.
    Failure,
}

impl CloseReason {
    /// Classifies the result of a connection.
    pub(super) fn of(result: &hyper::Result<()>) -> Self {
        let Err(error) = result else { return Self::Caller };
        if error.is_incomplete_message() {
            return Self::Caller;
        }
        let source = std::error::Error::source(error);
        let source = source.and_then(|source| source.downcast_ref::<io::Error>());
        match source.map(io::Error::kind) {
            Some(
                io::ErrorKind::ConnectionReset
                | io::ErrorKind::ConnectionAborted
                | io::ErrorKind::BrokenPipe
                | io::ErrorKind::UnexpectedEof,
            ) => Self::Caller,
            _ => Self::Failure,
        }
    }

    /// Returns the outcome of a request that has ended with the connection.
    const fn outcome(self) -> record::Outcome {
        match self {
            Self::Caller => record::Outcome::new("caller_left", record::EndedBy::Caller),
            Self::Stop => record::Outcome::new("cut_by_stop", record::EndedBy::Gateway),
            Self::Failure => record::Outcome::new("connection_failed", record::EndedBy::Connection),
        }
    }
}

/// The outcome of a request that was dropped while its connection was open, which is an error of the gateway.
const DROPPED: record::Outcome = record::Outcome::new("dropped", record::EndedBy::Gateway);

/// The state of a connection of a caller.
#[derive(Default)]
pub(crate) struct CallerConnection {
    close_reason: sync::OnceLock<CloseReason>,
    /// The requests whose answers were handed to the connection and have not been written whole.
    unwritten: sync::Mutex<Vec<ingress::AccessLogEntry>>,
}

impl CallerConnection {
    /// Records why the connection has ended. Only the first reason counts.
    pub(super) fn close(&self, reason: CloseReason) {
        // A later reason is a consequence of the first one.
        let _ = self.close_reason.set(reason);
    }

    /// Keeps the request in progress until its answer, which is complete, has been written.
    pub(super) fn await_write(&self, entry: ingress::AccessLogEntry) {
        self.lock().push(entry);
    }

    /// Ends the requests whose answers were handed over, since everything has been written.
    pub(super) fn flushed(&self) {
        drop(self.take_unwritten());
    }

    /// Ends the requests whose answers were not written before the connection ended.
    pub(super) fn discard_unwritten(&self) {
        for mut entry in self.take_unwritten() {
            entry.clear_outcome();
        }
    }

    /// Returns the outcome of a request that ends without one of its own.
    pub(super) fn outcome(&self) -> record::Outcome {
        self.close_reason.get().map_or(DROPPED, |reason| reason.outcome())
    }

    fn take_unwritten(&self) -> Vec<ingress::AccessLogEntry> {
        mem::take(&mut *self.lock())
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<ingress::AccessLogEntry>> {
        self.unwritten.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
