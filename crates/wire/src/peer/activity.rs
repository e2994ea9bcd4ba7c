//! Which calls are in flight on a connection, and how long it has been silent.

use std::{collections, time};

use crate::peer::Limits;

/// Tracks the calls in flight and when the peer was last heard.
///
/// Connections are quiet while no call is in flight: at 1,800 daemons, heartbeats on every idle
/// connection would cost more than all calls.
#[derive(Debug)]
pub(crate) struct Activity {
    limits: Limits,
    /// The deadline of each call that has been sent and neither answered nor cancelled.
    calls: collections::HashMap<u64, time::Instant>,
    /// When the first of `calls` was sent after there had been none.
    busy_since: time::Instant,
    heard: time::Instant,
    sent: time::Instant,
}

impl Activity {
    pub(crate) fn new(limits: Limits, now: time::Instant) -> Self {
        Self { limits, calls: collections::HashMap::new(), busy_since: now, heard: now, sent: now }
    }

    /// Notes that something was heard.
    pub(crate) fn heard(&mut self, now: time::Instant) {
        self.heard = now;
    }

    /// Notes that something was sent.
    pub(crate) fn sent(&mut self, now: time::Instant) {
        self.sent = now;
    }

    /// Returns whether a heartbeat is due.
    pub(crate) fn is_due(&mut self, now: time::Instant) -> bool {
        let every =
            if self.is_busy(now) { self.limits.heartbeat() } else { self.limits.idle_heartbeat() };
        now.duration_since(self.sent) >= every
    }

    /// Returns whether the peer has been silent for too long.
    pub(crate) fn is_silent(&mut self, now: time::Instant) -> bool {
        if self.is_busy(now) {
            let since = self.heard.max(self.busy_since);
            now.duration_since(since) >= self.limits.silence()
        } else {
            now.duration_since(self.heard) >= self.limits.idle_silence()
        }
    }

    fn is_busy(&mut self, now: time::Instant) -> bool {
        self.calls.retain(|_, deadline| *deadline > now);
        !self.calls.is_empty()
    }

    fn start(&mut self, id: u64, deadline: time::Instant) {
        if self.calls.is_empty() {
            self.busy_since = time::Instant::now();
        }
        self.calls.insert(id, deadline);
    }

    fn end(&mut self, id: u64) {
        self.calls.remove(&id);
    }
}

/// A message that starts or ends a call.
pub(crate) trait Message {
    /// Notes the call that the message starts or ends.
    fn note(&self, activity: &mut Activity);
}

impl<T> Message for tarpc::ClientMessage<T> {
    fn note(&self, activity: &mut Activity) {
        match self {
            Self::Request(request) => activity.start(request.id, request.context.deadline),
            Self::Cancel { request_id, .. } => activity.end(*request_id),
            _ => {}
        }
    }
}

impl<T> Message for tarpc::Response<T> {
    fn note(&self, activity: &mut Activity) {
        activity.end(self.request_id);
    }
}
