//! Validation of the configuration that would result from a change.

use std::{collections, sync};

use trefoildyke_types::{error, resource};

use crate::config::{ChangeSet, check::invalid};

type Resources = collections::BTreeMap<resource::ResourceKey, sync::Arc<resource::Resource>>;

/// Checks that every reference exists and that unique values are unique over all resources.
///
/// This also detects the deletion of a resource to which another resource still refers. The error is
/// about the referring resource.
pub(crate) fn consistency(resources: &Resources, change: &ChangeSet) -> Result<(), error::Error> {
    let mut unique = Unique::default();
    for (key, resource) in resources {
        references(resource)
            .into_iter()
            .try_for_each(|reference| exists(resources, change, &reference))
            .and_then(|()| unique.add(resource))
            .map_err(|error| error.about(key))?;
    }
    Ok(())
}

/// A reference to another resource, with the path of the field that contains it.
struct Reference {
    field: String,
    key: resource::ResourceKey,
}

fn reference(field: impl Into<String>, kind: resource::Kind, name: &str) -> Reference {
    Reference { field: field.into(), key: resource::ResourceKey { kind, name: name.to_owned() } }
}

fn references(resource: &resource::Resource) -> Vec<Reference> {
    match &resource.spec {
        resource::Spec::ClientAccount(spec) => spec
            .classes
            .iter()
            .map(|(class, tier)| {
                let field = format!("spec.classes.{class}");
                reference(field, resource::Kind::Tier, tier.as_str())
            })
            .collect(),
        resource::Spec::Endpoint(spec) => {
            vec![reference("spec.pool", resource::Kind::EndpointPool, spec.pool.as_str())]
        }
        resource::Spec::EngineOrder(spec) => {
            vec![reference("spec.endpoint", resource::Kind::Endpoint, spec.endpoint.as_str())]
        }
        resource::Spec::PlannedStop(spec) => stop_references(&spec.target),
        resource::Spec::EndpointPool(_) | resource::Spec::Tier(_) => Vec::new(),
    }
}

fn stop_references(target: &resource::StopTarget) -> Vec<Reference> {
    match target {
        resource::StopTarget::Endpoint(name) => {
            vec![reference("spec.target.endpoint", resource::Kind::Endpoint, name.as_str())]
        }
        resource::StopTarget::Pool(name) => {
            vec![reference("spec.target.pool", resource::Kind::EndpointPool, name.as_str())]
        }
        resource::StopTarget::Host(_) => Vec::new(),
    }
}

fn exists(
    resources: &Resources,
    change: &ChangeSet,
    reference: &Reference,
) -> Result<(), error::Error> {
    let Reference { field, key } = reference;
    if resources.contains_key(key) {
        return Ok(());
    }
    let deleted = change.deletions.iter().any(|deletion| deletion.key == *key);
    let (message, remedy) = if deleted {
        (
            format!("names {key}, which the change deletes"),
            "change or delete this resource too, in the same change".to_owned(),
        )
    } else {
        (
            format!("names {key}, which does not exist"),
            format!("create {key} first or in the same change, or correct the name"),
        )
    };
    Err(invalid(message).at(field).remedy(remedy))
}

/// The values that must be unique, each with the name of the resource that has it.
#[derive(Default)]
struct Unique<'a> {
    keys: collections::HashMap<&'a str, &'a str>,
    ranks: collections::HashMap<u8, &'a str>,
    addresses: collections::HashMap<std::net::SocketAddr, &'a str>,
}

impl<'a> Unique<'a> {
    fn add(&mut self, resource: &'a resource::Resource) -> Result<(), error::Error> {
        let name = resource.name.as_str();
        match &resource.spec {
            resource::Spec::ClientAccount(spec) => {
                spec.key_hashes.iter().enumerate().try_for_each(|(index, hash)| {
                    let field = format!("spec.key_hashes[{index}]");
                    claim(&mut self.keys, hash.as_str(), name, &field)
                })
            }
            resource::Spec::Endpoint(spec) => {
                claim(&mut self.addresses, spec.address, name, "spec.address")
            }
            resource::Spec::Tier(spec) => claim(&mut self.ranks, spec.rank, name, "spec.rank"),
            resource::Spec::EndpointPool(_)
            | resource::Spec::EngineOrder(_)
            | resource::Spec::PlannedStop(_) => Ok(()),
        }
    }
}

fn claim<'a, T>(
    owners: &mut collections::HashMap<T, &'a str>,
    value: T,
    name: &'a str,
    field: &str,
) -> Result<(), error::Error>
where
    T: Eq + std::hash::Hash,
{
    match owners.insert(value, name) {
        None => Ok(()),
        Some(other) => Err(invalid(format!("`{other}` has the same value"))
            .at(field)
            .remedy("use a value that no other resource of the kind has")),
    }
}
