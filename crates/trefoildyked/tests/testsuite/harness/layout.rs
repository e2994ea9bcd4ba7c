//! The size and the resources of a test system.

use std::{collections, net};

use sha2::Digest as _;
use trefoildyke_types::resource;

/// The key of the account `cascadia`.
pub(crate) const KEY: &str = "caller-key";
/// The token of the operators.
pub(crate) const TOKEN: &str = "operator-token";

/// The size of a test system.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Layout {
    pub(crate) daemons: usize,
    pub(crate) engines: usize,
    pub(crate) services: usize,
    /// How many requests an endpoint runs concurrently.
    pub(crate) slots: u32,
    /// How long a call of a service takes, in milliseconds.
    pub(crate) call_ms: u64,
}

impl Default for Layout {
    fn default() -> Self {
        Self { daemons: 3, engines: 2, services: 1, slots: 8, call_ms: 20 }
    }
}

/// Returns the SHA-256 hash of a key or token in hexadecimal digits.
pub(crate) fn hash(text: &str) -> String {
    sha2::Sha256::digest(text.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns every resource of the system.
pub(crate) fn resources(
    layout: &Layout,
    engines: &[net::SocketAddr],
    services: &[net::SocketAddr],
) -> Vec<resource::Resource> {
    let mut resources = vec![
        tier("determination", 0),
        tier("drafting", 1),
        tier("status", 2),
        pool("assistant", resource::PoolProtocol::Engine { model: "assistant".into() }),
        pool("portal", resource::PoolProtocol::Service {}),
        account(),
    ];
    let numbered = |kind, pool, addresses: &[net::SocketAddr]| {
        let endpoint = |(index, address): (usize, &net::SocketAddr)| {
            endpoint(&format!("{kind}-{index}"), pool, *address, layout.slots)
        };
        addresses.iter().enumerate().map(endpoint).collect::<Vec<_>>()
    };
    resources.extend(numbered("engine", "assistant", engines));
    resources.extend(numbered("service", "portal", services));
    resources
}

fn resource(name: &str, spec: resource::Spec) -> resource::Resource {
    let (generation, resource_version, status) = (0, 0, None);
    resource::Resource { name: name.to_owned(), spec, generation, resource_version, status }
}

fn tier(name: &str, rank: u8) -> resource::Resource {
    resource(name, resource::Spec::Tier(resource::TierSpec { rank, deadline_ms: 60_000 }))
}

fn pool(name: &str, protocol: resource::PoolProtocol) -> resource::Resource {
    resource(name, resource::Spec::EndpointPool(resource::EndpointPoolSpec { protocol, shards: 1 }))
}

fn account() -> resource::Resource {
    let classes = ["determination", "drafting", "status"];
    let classes = classes.map(|class| (class.to_owned(), class.into()));
    let spec = resource::ClientAccountSpec {
        key_hashes: vec![hash(KEY)],
        classes: collections::BTreeMap::from(classes),
        weight: 1,
        max_waiting: None,
    };
    resource("cascadia", resource::Spec::ClientAccount(spec))
}

fn endpoint(name: &str, pool: &str, address: net::SocketAddr, slots: u32) -> resource::Resource {
    let spec = resource::EndpointSpec {
        pool: pool.into(),
        host: format!("host-of-{name}").as_str().into(),
        zone: "salem".into(),
        address,
        slots,
        cache_tokens: 16_384,
        checks_fencing: true,
    };
    resource(name, resource::Spec::Endpoint(spec))
}

/// Returns a planned stop.
pub(crate) fn planned_stop(name: &str, target: resource::StopTarget) -> resource::Resource {
    resource(name, resource::Spec::PlannedStop(resource::PlannedStopSpec { target }))
}
