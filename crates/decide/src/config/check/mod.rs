//! Validation of changes, of single resources and of the resulting configuration.

mod limits;
mod names;
mod references;
mod specs;

use std::collections;

use trefoildyke_types::{error, resource};

use crate::config::ChangeSet;

pub(crate) use references::consistency;

/// Checks that a change is not empty, names each resource only once and is not too large.
pub(crate) fn change(change: &ChangeSet) -> Result<(), error::Error> {
    if change.is_empty() {
        return Err(invalid("the change is empty").remedy("name at least one resource"));
    }
    if change.puts.len() + change.deletions.len() > limits::CHANGE_RESOURCES {
        let message = format!("a change takes at most {} resources", limits::CHANGE_RESOURCES);
        return Err(error::Error::new(error::ErrorKind::TooLarge, message)
            .remedy("split it into several changes"));
    }
    let puts = change.puts.iter().map(resource::Resource::key);
    let deletions = change.deletions.iter().map(|deletion| deletion.key.clone());
    let mut seen = collections::BTreeSet::new();
    for key in puts.chain(deletions) {
        if let Some(duplicate) = seen.replace(key) {
            return Err(invalid("occurs twice in the change")
                .about(&duplicate)
                .remedy("keep one of the two"));
        }
    }
    Ok(())
}

/// Checks one resource on its own.
pub(crate) fn resource(resource: &resource::Resource) -> Result<(), error::Error> {
    names::resource("name", &resource.name)
        .and_then(|()| specs::spec(&resource.spec))
        .map_err(|error| error.about(&resource.key()))
}

fn invalid(message: impl Into<String>) -> error::Error {
    error::Error::new(error::ErrorKind::Invalid, message)
}
