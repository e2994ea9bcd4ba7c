//! The transition from one version of the configuration to the next.

use std::{collections, sync};

use trefoildyke_types::{error, resource};

use crate::config::{ChangeSet, Deletion, Snapshot, check, storage};

/// Applies a change atomically and returns the next snapshot.
///
/// # Errors
///
/// Fails with `Conflict` and the current version of the resource if another writer was first; with
/// `NotFound` if a resource to delete does not exist; with `TooLarge` if the change has too many
/// resources; and with `Invalid` if the change is empty or names a resource twice, or, with the field's
/// path, if a resource or the resulting configuration is not valid. Nothing is applied in these cases.
pub fn apply(snapshot: &Snapshot, change: &ChangeSet) -> Result<Snapshot, error::Error> {
    check::change(change)?;
    change.puts.iter().try_for_each(check::resource)?;
    let version = snapshot.version() + 1;
    let mut resources = snapshot.resources().clone();
    write_change(&mut resources, change, version)?;
    check::consistency(&resources, change)?;
    Ok(Snapshot::new(version, resources))
}

/// Applies changes that were accepted earlier, without validating them again.
///
/// # Errors
///
/// Fails with `Protocol` if a change does not follow the previous version.
pub(crate) fn replay<'a>(
    snapshot: &Snapshot,
    changes: impl Iterator<Item = &'a storage::Change>,
) -> Result<Snapshot, error::Error> {
    let mut version = snapshot.version();
    let mut resources = snapshot.resources().clone();
    for change in changes {
        if change.version != version + 1 {
            return Err(sequence_error(version, change.version, "it leaves a gap"));
        }
        write_change(&mut resources, &change.set, change.version)
            .map_err(|error| sequence_error(version, change.version, &error.to_string()))?;
        version = change.version;
    }
    Ok(Snapshot::new(version, resources))
}

fn sequence_error(version: u64, next: u64, cause: &str) -> error::Error {
    let message = format!("change {next} does not follow version {version}: {cause}");
    error::Error::new(error::ErrorKind::Protocol, message)
        .remedy("read the whole configuration instead")
}

type Resources = collections::BTreeMap<resource::ResourceKey, sync::Arc<resource::Resource>>;

fn write_change(
    resources: &mut Resources,
    change: &ChangeSet,
    version: u64,
) -> Result<(), error::Error> {
    change.deletions.iter().try_for_each(|deletion| delete(resources, deletion))?;
    change.puts.iter().try_for_each(|resource| put(resources, resource, version))
}

fn delete(resources: &mut Resources, deletion: &Deletion) -> Result<(), error::Error> {
    let key = &deletion.key;
    let Some(current) = resources.get(key) else {
        return Err(error::Error::new(error::ErrorKind::NotFound, "does not exist")
            .about(key)
            .remedy("correct the name; if it was deleted before, nothing is left to do"));
    };
    if let Some(expected) = deletion.resource_version {
        check_version(key, current.resource_version, expected)?;
    }
    resources.remove(key);
    Ok(())
}

fn put(
    resources: &mut Resources,
    resource: &resource::Resource,
    version: u64,
) -> Result<(), error::Error> {
    let key = resource.key();
    let current = resources.get(&key).map_or((0, 0), |r| (r.resource_version, r.generation));
    check_version(&key, current.0, resource.resource_version)?;
    let accepted = resource::Resource {
        name: resource.name.clone(),
        spec: resource.spec.clone(),
        generation: current.1 + 1,
        resource_version: version,
        status: None,
    };
    resources.insert(key, sync::Arc::new(accepted));
    Ok(())
}

fn check_version(
    key: &resource::ResourceKey,
    current: u64,
    expected: u64,
) -> Result<(), error::Error> {
    if current == expected {
        return Ok(());
    }
    let message = match (current, expected) {
        (0, _) => format!("version {expected} was to be replaced, but it does not exist"),
        (_, 0) => "was to be created, but it exists".to_owned(),
        _ => format!("version {expected} was to be replaced, but another one stands"),
    };
    Err(error::Error::new(error::ErrorKind::Conflict, message).about(key).current(current))
}
