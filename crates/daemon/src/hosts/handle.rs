//! The handle through which other services read the platform's host list.

use std::sync;

use tokio::sync::watch;
use trefoildyke_wire::platform::{self, message};

use crate::hosts;

/// A handle to the last host list that was read from the platform. Clones share the list.
#[derive(Clone, Debug)]
pub struct Handle {
    reads: watch::Receiver<Option<hosts::HostsRead>>,
}

/// Creates the handle for the other services and the poller that must run to update it.
pub fn new(settings: hosts::Settings, client: platform::HostsClient) -> (Handle, hosts::Poller) {
    let (sender, reads) = watch::channel(None);
    (Handle { reads }, hosts::Poller::new(settings, client, sender))
}

impl Handle {
    /// Returns the last list read, or `None` before the first successful read.
    pub fn list(&self) -> Option<sync::Arc<message::HostList>> {
        self.reads.borrow().as_ref().map(|read| sync::Arc::clone(&read.list))
    }

    /// Returns a receiver that is notified of each successful read, even if the list is unchanged.
    pub fn subscribe(&self) -> watch::Receiver<Option<hosts::HostsRead>> {
        self.reads.clone()
    }
}
