//! The calls in flight on a connection, and the times of its last traffic.

use std::{collections, time};

use crate::peer::Limits;

/// The calls in flight on a connection and the times of the last frames in both directions.
///
/// Heartbeats are sent and expected less often while no call is in flight: with 1,800 daemons, frequent
/// heartbeats on every idle connection would cost more than all calls.
#[derive(Debug)]
pub(crate) struct Activity {
    limits: Limits,
    /// The deadline of each call that has been sent and neither answered nor cancelled.
    calls: collections::HashMap<u64, time::Instant>,
    /// When `calls` last became non-empty.
    busy_since: time::Instant,
    last_received: time::Instant,
    last_sent: time::Instant,
}

impl Activity {
    pub(crate) fn new(limits: Limits, now: time::Instant) -> Self {
        Self {
            limits,
            calls: collections::HashMap::new(),
            busy_since: now,
            last_received: now,
            last_sent: now,
        }
    }

    /// Records that a frame was received.
    pub(crate) fn record_received(&mut self, now: time::Instant) {
        self.last_received = now;
    }

    /// Records that a frame was sent.
    pub(crate) fn record_sent(&mut self, now: time::Instant) {
        self.last_sent = now;
    }

    /// Returns whether a heartbeat is due.
    pub(crate) fn is_heartbeat_due(&mut self, now: time::Instant) -> bool {
        let interval =
            if self.is_busy(now) { self.limits.heartbeat() } else { self.limits.idle_heartbeat() };
        now.duration_since(self.last_sent) >= interval
    }

    /// Returns whether nothing has been received for too long.
    pub(crate) fn is_silent(&mut self, now: time::Instant) -> bool {
        if self.is_busy(now) {
            let since = self.last_received.max(self.busy_since);
            now.duration_since(since) >= self.limits.silence()
        } else {
            now.duration_since(self.last_received) >= self.limits.idle_silence()
        }
    }

    fn is_busy(&mut self, now: time::Instant) -> bool {
        self.calls.retain(|_, deadline| *deadline > now);
        !self.calls.is_empty()
    }

    fn start_call(&mut self, id: u64, deadline: time::Instant) {
        if self.calls.is_empty() {
            self.busy_since = time::Instant::now();
        }
        self.calls.insert(id, deadline);
    }

    fn end_call(&mut self, id: u64) {
        self.calls.remove(&id);
    }
}

/// A message that starts or ends a call.
pub(crate) trait Message {
    /// Records the call that the message starts or ends.
    fn record_call(&self, activity: &mut Activity);
}

impl<T> Message for tarpc::ClientMessage<T> {
    fn record_call(&self, activity: &mut Activity) {
        match self {
            Self::Request(request) => activity.start_call(request.id, request.context.deadline),
            Self::Cancel { request_id, .. } => activity.end_call(*request_id),
            _ => {}
        }
    }
}

impl<T> Message for tarpc::Response<T> {
    fn record_call(&self, activity: &mut Activity) {
        activity.end_call(self.request_id);
    }
}
