//! Changes of the configuration over whole systems of processes.

mod command_line;
mod outage;
mod race;
mod spread;

use trefoildyke_types::resource;
use trefoildyke_wire::operators;

/// Returns a tier over the version that stands.
fn tier(name: &str, rank: u8, deadline_ms: u64, resource_version: u64) -> resource::Resource {
    resource::Resource {
        name: name.to_owned(),
        spec: resource::Spec::Tier(resource::TierSpec { rank, deadline_ms }),
        generation: 0,
        resource_version,
        status: None,
    }
}

/// Returns the deadline of a tier as one daemon has it, with the version; `None` if it has none.
async fn standing(operator: &operators::Client, name: &str) -> Option<(u64, u64)> {
    let key = resource::ResourceKey { kind: resource::Kind::Tier, name: name.to_owned() };
    let standing = operator.get(&key).await.ok()?;
    match standing.spec {
        resource::Spec::Tier(tier) => Some((tier.deadline_ms, standing.resource_version)),
        _ => None,
    }
}
