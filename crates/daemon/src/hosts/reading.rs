//! One reading of the platform's list.

use std::sync;

use trefoildyke_decide::endpoints;
use trefoildyke_wire::platform::message;

/// Holds one reading of the platform's list; readings of equal hosts share them.
#[derive(Clone, Debug)]
pub struct Reading {
    /// When the reading was begun: changes listed after it are not in it.
    pub begun: tokio::time::Instant,
    /// The list.
    pub list: sync::Arc<message::HostList>,
    /// The list's hosts by state.
    pub hosts: sync::Arc<endpoints::Hosts>,
}

impl Reading {
    /// Creates the reading of a list.
    pub fn new(begun: tokio::time::Instant, list: message::HostList) -> Self {
        let hosts = sync::Arc::new(by_state(&list));
        Self { begun, list: sync::Arc::new(list), hosts }
    }
}

fn by_state(list: &message::HostList) -> endpoints::Hosts {
    let mut hosts = endpoints::Hosts::default();
    for host in &list.hosts {
        match host.state {
            message::HostState::Live => hosts.live.insert(host.host.clone()),
            message::HostState::Leaving => hosts.leaving.insert(host.host.clone()),
        };
    }
    hosts
}
