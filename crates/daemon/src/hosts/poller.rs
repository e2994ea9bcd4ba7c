//! Polling of the platform's host list.

use tokio::sync::watch;
use trefoildyke_wire::platform::{self, message};

use crate::hosts;

/// Polls the platform's host list. It must run on the control thread.
#[derive(Debug)]
#[must_use = "a handle has no list until the poller runs"]
pub struct Poller {
    settings: hosts::Settings,
    client: platform::HostsClient,
    reads: watch::Sender<Option<hosts::HostsRead>>,
}

impl Poller {
    pub(super) fn new(
        settings: hosts::Settings,
        client: platform::HostsClient,
        reads: watch::Sender<Option<hosts::HostsRead>>,
    ) -> Self {
        Self { settings, client, reads }
    }

    /// Polls until every handle is dropped. Drop the future to cancel it.
    ///
    /// While the platform does not answer, handles keep the last list.
    pub async fn run(self) {
        let mut failing = false;
        while !self.reads.is_closed() {
            let started = tokio::time::Instant::now();
            match self.client.list().await {
                Ok(list) => {
                    failing = false;
                    self.publish(started, list);
                }
                Err(error) => {
                    if !failing {
                        log::warn!("cannot read the host list; keeping the last one: {error}");
                    }
                    failing = true;
                }
            }
            tokio::time::sleep(self.settings.interval()).await;
        }
    }

    fn publish(&self, started: tokio::time::Instant, list: message::HostList) {
        self.reads.send_modify(|last| match last {
            Some(last) if last.list.hosts == list.hosts => last.started = started,
            _ => *last = Some(hosts::HostsRead::new(started, list)),
        });
    }
}
