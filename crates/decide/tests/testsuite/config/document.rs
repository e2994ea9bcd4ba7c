//! Tests of parsing resources as operators write them.

use proptest::prelude::*;
use trefoildyke_decide::config;

#[test]
fn several_documents_are_read_and_empty_ones_skipped() {
    let yaml = "---\n{kind: Tier, name: a, spec: {rank: 0, deadline_ms: 5}}\n---\n---\n{kind: Tier, name: b, spec: {rank: 1, deadline_ms: 5}}\n";
    let names: Vec<_> = config::from_yaml(yaml).unwrap().into_iter().map(|r| r.name).collect();
    assert_eq!(names, ["a", "b"]);
}

#[test]
fn mistakes_are_named_with_their_path() {
    let cases = [
        "{kind: Teir, name: a, spec: {}}",
        "{kind: Tier, spec: {rank: 0, deadline_ms: 5}}",
        "{kind: Tier, name: a, extra: 1, spec: {rank: 0, deadline_ms: 5}}",
        "{kind: Tier, name: a, spec: {rank: 0, deadline: 5s}}",
        "{kind: Tier, name: a, spec: {rank: 300, deadline_ms: 5}}",
        "{kind: Tier, name: a}",
        "{kind: ClientAccount, name: a, spec: {key_hashes: [1], classes: {}}}",
        "{kind: Endpoint, name: a, spec: {pool: p, host: h, zone: z, address: nowhere}}",
        "{kind: EndpointPool, name: a, spec: {protocol: {engine: {model: m, size: 1}}}}",
        "[1, 2]",
        "{kind: Tier, kind: Tier}",
        "a: [",
    ];
    let errors = cases.map(|yaml| config::from_yaml(yaml).unwrap_err().to_string());
    insta::assert_snapshot!(errors.join("\n"));
}

proptest! {
    #[test]
    fn any_text_gives_resources_or_a_typed_error(text in "\\PC{0,200}") {
        if let Err(error) = config::from_yaml(&text) {
            prop_assert!(!error.remedy.is_empty());
        }
        if let Err(error) = config::from_json(text.as_bytes()) {
            prop_assert!(!error.remedy.is_empty());
        }
    }

    #[test]
    fn any_fields_give_a_resource_or_a_typed_error(
        kind in prop::sample::select(vec!["Tier", "Endpoint", "ClientAccount", "PlannedStop", "x"]),
        field in "[a-z_]{1,12}",
        value in prop_oneof![
            any::<i64>().prop_map(serde_json::Value::from),
            any::<String>().prop_map(serde_json::Value::from),
            Just(serde_json::Value::Null),
        ],
    ) {
        let document = serde_json::json!({"kind": kind, "name": "n", "spec": {field: value}});
        if let Err(error) = config::from_value(document) {
            prop_assert!(!error.remedy.is_empty());
        }
    }
}
