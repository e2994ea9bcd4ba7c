//! What the platform's list says of hosts.

use std::collections;

use trefoildyke_types::id;

/// Holds the hosts of one reading of the platform's list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hosts {
    /// Hosts that stay.
    pub live: collections::BTreeSet<id::HostName>,
    /// Hosts that are being taken back.
    pub leaving: collections::BTreeSet<id::HostName>,
}

impl Hosts {
    /// Returns whether the list names the host at all.
    pub fn names(&self, host: &id::HostName) -> bool {
        self.live.contains(host) || self.leaving.contains(host)
    }
}
