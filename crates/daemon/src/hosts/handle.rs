//! How other services see the platform's list.

use std::sync;

use tokio::sync::watch;
use trefoildyke_wire::platform::{self, message};

use crate::hosts;

/// Reads the last list that the platform gave. Clones read the same.
#[derive(Clone, Debug)]
pub struct Handle {
    readings: watch::Receiver<Option<hosts::Reading>>,
}

/// Creates the service: the handle for the others and the poller to run.
pub fn new(settings: hosts::Settings, client: platform::HostsClient) -> (Handle, hosts::Poller) {
    let (sender, readings) = watch::channel(None);
    (Handle { readings }, hosts::Poller::new(settings, client, sender))
}

impl Handle {
    /// Returns the last list read, or `None` before the first.
    pub fn list(&self) -> Option<sync::Arc<message::HostList>> {
        self.readings.borrow().as_ref().map(|reading| sync::Arc::clone(&reading.list))
    }

    /// Returns a receiver that sees each reading, also one that shows nothing new.
    pub fn subscribe(&self) -> watch::Receiver<Option<hosts::Reading>> {
        self.readings.clone()
    }
}
