//! Configuration changes in systems of processes.

mod command_line;
mod outage;
mod propagation;
mod race;

use trefoildyke_types::resource;
use trefoildyke_wire::operators;

/// Returns a tier that replaces the given version.
fn tier(name: &str, rank: u8, deadline_ms: u64, resource_version: u64) -> resource::Resource {
    resource::Resource {
        name: name.to_owned(),
        spec: resource::Spec::Tier(resource::TierSpec { rank, deadline_ms }),
        generation: 0,
        resource_version,
        status: None,
    }
}

/// Returns the deadline and the version of a tier at one daemon, or `None` if the daemon does not have it.
async fn current_tier(operator: &operators::Client, name: &str) -> Option<(u64, u64)> {
    let key = resource::ResourceKey { kind: resource::Kind::Tier, name: name.to_owned() };
    let current = operator.get(&key).await.ok()?;
    match current.spec {
        resource::Spec::Tier(tier) => Some((tier.deadline_ms, current.resource_version)),
        _ => None,
    }
}
