//! The hosts on the platform's list.

use std::collections;

use trefoildyke_types::id;

/// The hosts of one reading of the platform's list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hosts {
    /// Hosts that remain available.
    pub live: collections::BTreeSet<id::HostName>,
    /// Hosts that the platform is taking back.
    pub leaving: collections::BTreeSet<id::HostName>,
}

impl Hosts {
    /// Returns whether the list contains the host, live or leaving.
    pub fn contains(&self, host: &id::HostName) -> bool {
        self.live.contains(host) || self.leaving.contains(host)
    }
}
