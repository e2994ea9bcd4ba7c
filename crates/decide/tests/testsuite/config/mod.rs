//! Tests of the configuration.

mod apply;
mod document;
mod storage;

use trefoildyke_decide::config;
use trefoildyke_types::{error, resource};

/// Returns the resources of a YAML text.
fn resources(yaml: &str) -> Vec<resource::Resource> {
    config::from_yaml(yaml).unwrap()
}

/// Returns a change that puts the resources of a YAML text.
fn puts(yaml: &str) -> config::ChangeSet {
    config::ChangeSet { puts: resources(yaml), deletions: Vec::new() }
}

/// Returns a change that deletes any version of one resource.
fn delete(kind: resource::Kind, name: &str) -> config::ChangeSet {
    let key = resource::ResourceKey { kind, name: name.to_owned() };
    config::ChangeSet::delete(config::Deletion { key, resource_version: None })
}

/// Returns the error with which `apply` refuses a change.
fn refused(snapshot: &config::Snapshot, change: &config::ChangeSet) -> error::Error {
    config::apply(snapshot, change).unwrap_err()
}

const SMALL: &str = "
kind: Tier
name: urgent
spec: {rank: 0, deadline_ms: 1000}
---
kind: ClientAccount
name: school
spec:
  key_hashes: ['abababababababababababababababababababababababababababababababab']
  classes: {correction: urgent}
---
kind: EndpointPool
name: tutors
spec: {protocol: {engine: {model: m1}}}
---
kind: Endpoint
name: worker-1
spec: {pool: tutors, host: h1, zone: sala-norte, address: '127.0.0.1:7001'}
";

/// Returns a small valid snapshot of version 1.
fn small() -> config::Snapshot {
    config::apply(&config::Snapshot::default(), &puts(SMALL)).unwrap()
}
