//! The timeout for the next request of a connection.

use std::{pin, sync, task, time};

use hyper::rt;
use trefoildyke_decide::gateway;

use crate::{ingress, state};

/// A timer for the heads of requests; a limit that is raised during the wait prolongs it.
#[derive(Clone)]
pub(crate) struct HeadTimer {
    pub(crate) shared: sync::Arc<state::Shared>,
}

impl rt::Timer for HeadTimer {
    fn sleep(&self, length: time::Duration) -> pin::Pin<Box<dyn rt::Sleep>> {
        self.sleep_until(self.now() + length)
    }

    fn sleep_until(&self, deadline: time::Instant) -> pin::Pin<Box<dyn rt::Sleep>> {
        Box::pin(HeadSleep {
            shared: sync::Arc::clone(&self.shared),
            started: tokio::time::Instant::now(),
            sleep: Box::pin(tokio::time::sleep_until(deadline.into())),
        })
    }

    fn now(&self) -> time::Instant {
        tokio::time::Instant::now().into()
    }
}

struct HeadSleep {
    shared: sync::Arc<state::Shared>,
    started: tokio::time::Instant,
    sleep: pin::Pin<Box<tokio::time::Sleep>>,
}

impl Future for HeadSleep {
    type Output = ();

    fn poll(mut self: pin::Pin<&mut Self>, cx: &mut task::Context<'_>) -> task::Poll<()> {
        while self.sleep.as_mut().poll(cx).is_ready() {
            let end = self.started + head_wait(&ingress::limits(&self.shared));
            if end <= tokio::time::Instant::now() {
                return task::Poll::Ready(());
            }
            self.sleep.as_mut().reset(end);
        }
        task::Poll::Pending
    }
}

impl rt::Sleep for HeadSleep {}

/// Returns how long a connection waits for the head of the next request.
///
/// The wait starts at the end of the previous request, so it includes the idle time. Callers use a connection
/// that was idle for less than the limit.
pub(crate) fn head_wait(limits: &gateway::Limits) -> time::Duration {
    time::Duration::from_millis(limits.idle_ms.max(limits.header_ms) * 2)
}
