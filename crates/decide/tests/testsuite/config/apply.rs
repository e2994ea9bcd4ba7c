//! Tests of the transition from one version to the next.

use proptest::prelude::*;
use trefoildyke_decide::config;
use trefoildyke_types::{error, id, resource};

use crate::config::{delete, puts, refused, resources, small};

#[test]
fn a_change_creates_the_next_version_with_its_indices() {
    let snapshot = small();
    assert_eq!(snapshot.version(), 1);
    let hash: config::KeyHash = "ab".repeat(32).parse().unwrap();
    assert_eq!(snapshot.account_by_key(&hash).unwrap().as_str(), "school");
    assert_eq!(snapshot.endpoints_of(&"tutors".into()), [id::EndpointName::new("worker-1")]);
    assert_eq!(snapshot.tiers()[&0].as_str(), "urgent");
    let tier = snapshot.resource(resource::Kind::Tier, "urgent").unwrap();
    assert_eq!((tier.generation, tier.resource_version), (1, 1));
}

#[test]
fn a_replacement_raises_generation_and_version() {
    let mut change = puts("{kind: Tier, name: urgent, spec: {rank: 1, deadline_ms: 5}}");
    change.puts[0].resource_version = 1;
    let next = config::apply(&small(), &change).unwrap();
    let tier = next.resource(resource::Kind::Tier, "urgent").unwrap();
    assert_eq!((next.version(), tier.generation, tier.resource_version), (2, 2, 2));
    assert_eq!(next.tiers().keys().copied().collect::<Vec<_>>(), [1]);
}

#[test]
fn a_stale_writer_gets_a_conflict_with_the_current_version() {
    for (expected, text) in [(0, "exists"), (7, "another one stands")] {
        let mut change = puts("{kind: Tier, name: urgent, spec: {rank: 0, deadline_ms: 5}}");
        change.puts[0].resource_version = expected;
        let error = refused(&small(), &change);
        assert_eq!(error.kind, error::ErrorKind::Conflict);
        assert_eq!(error.context.current, Some(1));
        assert!(error.message.contains(text), "{error}");
    }
}

#[test]
fn a_change_that_fails_in_part_applies_nothing() {
    let mut change = puts(
        "{kind: Tier, name: low, spec: {rank: 1, deadline_ms: 5}}
---
{kind: Tier, name: urgent, spec: {rank: 0, deadline_ms: 5}}",
    );
    change.puts[1].resource_version = 9;
    let snapshot = small();
    refused(&snapshot, &change);
    assert!(snapshot.resource(resource::Kind::Tier, "low").is_none());
    assert_eq!(snapshot.version(), 1);
}

#[test]
fn references_are_kept_both_ways() {
    let snapshot = small();
    let dangling = puts(
        "{kind: Endpoint, name: w2, spec: {pool: no-such, host: h, zone: z, address: '127.0.0.1:9'}}",
    );
    let deletes = delete(resource::Kind::EndpointPool, "tutors");
    let errors = [refused(&snapshot, &dangling), refused(&snapshot, &deletes)];
    insta::assert_snapshot!(errors.map(|e| e.to_string()).join("\n"));
}

#[test]
fn a_resource_can_be_deleted_together_with_its_referrer() {
    let mut change = delete(resource::Kind::EndpointPool, "tutors");
    change.deletions.extend(delete(resource::Kind::Endpoint, "worker-1").deletions);
    let next = config::apply(&small(), &change).unwrap();
    assert!(next.endpoints_of(&"tutors".into()).is_empty());
}

#[test]
fn values_are_checked_with_the_path_of_the_field() {
    let key = "cd".repeat(32);
    let cases = [
        "{kind: Tier, name: Low Tier, spec: {rank: 1, deadline_ms: 5}}".to_owned(),
        "{kind: Tier, name: low, spec: {rank: 1, deadline_ms: 0}}".to_owned(),
        "{kind: Tier, name: low, spec: {rank: 0, deadline_ms: 5}}".to_owned(),
        format!("{{kind: ClientAccount, name: a, spec: {{key_hashes: ['{key}', XY], classes: {{c: urgent}}}}}}"),
        format!("{{kind: ClientAccount, name: a, spec: {{key_hashes: ['{}'], classes: {{c: urgent}}}}}}", "ab".repeat(32)),
        format!("{{kind: ClientAccount, name: a, spec: {{key_hashes: ['{key}'], classes: {{c: gone}}}}}}"),
        format!("{{kind: ClientAccount, name: a, spec: {{key_hashes: ['{key}'], classes: {{c: urgent}}, weight: 0}}}}"),
        "{kind: EndpointPool, name: p, spec: {protocol: {engine: {model: ''}}}}".to_owned(),
        "{kind: EndpointPool, name: p, spec: {protocol: {service: {}}, shards: 0}}".to_owned(),
        "{kind: Endpoint, name: w, spec: {pool: tutors, host: h, zone: z, address: '127.0.0.1:7001'}}".to_owned(),
        "{kind: Endpoint, name: w, spec: {pool: tutors, host: h, zone: z, address: '0.0.0.0:1'}}".to_owned(),
        "{kind: EngineOrder, name: o, spec: {endpoint: w9, action: {set_role: {role: decode}}}}".to_owned(),
        "{kind: PlannedStop, name: s, spec: {target: {endpoint: w9}}}".to_owned(),
    ];
    let snapshot = small();
    let errors = cases.map(|yaml| refused(&snapshot, &puts(&yaml)).to_string());
    insta::assert_snapshot!(errors.join("\n"));
}

#[test]
fn an_empty_change_and_a_resource_named_twice_are_refused() {
    let twice = "{kind: Tier, name: low, spec: {rank: 1, deadline_ms: 5}}";
    let mut change = puts(twice);
    change.puts.extend(resources(twice));
    let errors = [config::ChangeSet::default(), change].map(|c| refused(&small(), &c).to_string());
    insta::assert_snapshot!(errors.join("\n"));
}

#[test]
fn planned_stops_cover_endpoint_host_and_pool() {
    for target in ["endpoint: worker-1", "host: h1", "pool: tutors"] {
        let stop = format!("{{kind: PlannedStop, name: s, spec: {{target: {{{target}}}}}}}");
        let next = config::apply(&small(), &puts(&stop)).unwrap();
        assert!(next.stops_endpoint(&"worker-1".into()), "{target}");
    }
    assert!(!small().stops_endpoint(&"worker-1".into()));
}

proptest! {
    #[test]
    fn versions_increase_by_one_and_a_refusal_changes_nothing(
        steps in prop::collection::vec((0..4u8, 0..4u64, 0..6u8), 1..40),
    ) {
        let mut snapshot = config::Snapshot::default();
        for (name, expected, rank) in steps {
            let tier = format!("{{kind: Tier, name: t{name}, spec: {{rank: {rank}, deadline_ms: 5}}}}");
            let mut change = puts(&tier);
            change.puts[0].resource_version = expected;
            let current = snapshot
                .resource(resource::Kind::Tier, &format!("t{name}"))
                .map_or(0, |tier| tier.resource_version);
            match config::apply(&snapshot, &change) {
                Ok(next) => {
                    prop_assert_eq!(next.version(), snapshot.version() + 1);
                    prop_assert_eq!(current, expected);
                    snapshot = next;
                }
                Err(error) if error.kind == error::ErrorKind::Conflict => {
                    prop_assert_ne!(current, expected);
                    prop_assert_eq!(error.context.current, Some(current));
                }
                Err(error) => prop_assert_eq!(error.kind, error::ErrorKind::Invalid),
            }
            let tiers = snapshot.of_kind(resource::Kind::Tier).count();
            prop_assert_eq!(snapshot.tiers().len(), tiers);
        }
    }
}
