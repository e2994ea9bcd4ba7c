//! One successful read of the platform's host list.

use std::sync;

use trefoildyke_decide::endpoints;
use trefoildyke_wire::platform::message;

/// One successful read of the platform's host list.
///
/// Consecutive reads of equal hosts share the list of the first one; only `started` differs.
#[derive(Clone, Debug)]
pub struct HostsRead {
    /// When the read started. Changes that the platform listed later may be missing.
    pub started: tokio::time::Instant,
    /// The host list.
    pub list: sync::Arc<message::HostList>,
    /// The hosts of the list, grouped by state.
    pub hosts: sync::Arc<endpoints::Hosts>,
}

impl HostsRead {
    /// Creates the read of `list` that started at `started`.
    pub fn new(started: tokio::time::Instant, list: message::HostList) -> Self {
        let hosts = sync::Arc::new(group_by_state(&list));
        Self { started, list: sync::Arc::new(list), hosts }
    }
}

fn group_by_state(list: &message::HostList) -> endpoints::Hosts {
    let mut hosts = endpoints::Hosts::default();
    for host in &list.hosts {
        match host.state {
            message::HostState::Live => hosts.live.insert(host.host.clone()),
            message::HostState::Leaving => hosts.leaving.insert(host.host.clone()),
        };
    }
    hosts
}
