//! Differences between two versions of a configuration.

use proptest::prelude::*;
use trefoildyke_decide::gateway::{
    Account, AccountUnit, Config, ConfigPatch, PatchError, Route, RouteKind, Service, Target,
};

fn route(number: u32, timeout_ms: u64) -> Route {
    Route {
        name: format!("r-{number}"),
        host: "claims.example".to_owned(),
        prefix: format!("/{number}/"),
        targets: vec![Target { service: "assistant".into(), weight: 0.3 }],
        kind: RouteKind::Stream { resumable: true },
        timeout_ms,
        objective_ms: 300,
        gap_ms: 0,
        patience_ms: Some(2_000),
        priority: 0,
        attempts: 1,
        public: false,
    }
}

fn config(version: u64, routes: Vec<Route>) -> Config {
    let account = Account {
        name: "cascadia".into(),
        keys: vec![format!("k{version}")],
        priority: Some(1),
        rate: 0.1,
        burst: 0.0,
        unit: AccountUnit::Tokens { undeclared: 200 },
    };
    let service = Service { name: "assistant".into(), connections: 10, event_tokens: 4 };
    Config {
        version,
        routes,
        services: vec![service],
        accounts: vec![account],
        ..Config::default()
    }
}

fn encoded_len(patch: &ConfigPatch) -> usize {
    serde_json::to_vec(patch).unwrap().len()
}

#[test]
fn a_patch_leads_from_its_base_to_the_newer_version() {
    let old = config(1, (0..100).map(|number| route(number, 1_000)).collect());
    let mut routes = old.routes.clone();
    routes.remove(7);
    routes.swap(20, 60);
    routes[30] = route(31, 2_000);
    routes.insert(40, route(1_000, 1_000));
    let new = config(4, routes);
    assert_eq!(ConfigPatch::between(Some(&old), &new).apply(Some(&old)), Ok(new.clone()));
    assert_eq!(ConfigPatch::between(None, &new).apply(None), Ok(new.clone()));
    assert_eq!(ConfigPatch::between(None, &new).apply(Some(&old)), Ok(new));
}

/// Each change of a large configuration was transferred to every daemon as a whole.
#[test]
fn the_size_of_a_patch_depends_on_the_change() {
    let old = config(1, (0..3_000).map(|number| route(number, 1_000)).collect());
    let mut new = config(2, old.routes.clone());
    new.routes[2_000].timeout_ms = 5;
    let patch = ConfigPatch::between(Some(&old), &new);
    assert!(encoded_len(&patch) < 2_000, "{}", encoded_len(&patch));
    assert!(encoded_len(&ConfigPatch::between(None, &new)) > 300_000);
}

#[test]
fn a_patch_does_not_apply_to_another_base() {
    let old = config(1, vec![route(1, 1_000), route(2, 1_000)]);
    let new = config(2, vec![route(1, 1_000), route(2, 1_000), route(3, 1_000)]);
    let patch = ConfigPatch::between(Some(&old), &new);
    assert_eq!(patch.clone().apply(None), Err(PatchError::WrongBase));
    let other_version = config(3, old.routes);
    assert_eq!(patch.clone().apply(Some(&other_version)), Err(PatchError::WrongBase));
    // The same version number with another content, as after a restore of the store.
    let other_content = config(1, vec![route(1, 7), route(2, 1_000)]);
    assert_eq!(patch.clone().apply(Some(&other_content)), Err(PatchError::WrongResult));
    let too_short = config(1, vec![route(1, 1_000)]);
    assert_eq!(patch.apply(Some(&too_short)), Err(PatchError::WrongResult));
}

/// Guards against a daemon that takes an empty list of accounts for a missing one, or the other way round.
#[test]
fn patches_and_hashes_tell_an_empty_list_of_accounts_from_a_missing_one() {
    let listed = config(1, vec![route(1, 1_000)]);
    let empty = |version| Config { version, accounts: Vec::new(), ..listed.clone() };
    let missing = |version| Config { keyless: true, ..empty(version) };
    assert_ne!(empty(2).content_hash(), missing(2).content_hash());
    for (old, new) in [
        (listed.clone(), empty(2)),
        (listed.clone(), missing(2)),
        (empty(1), missing(2)),
        (missing(1), empty(2)),
        (missing(1), config(2, Vec::new())),
    ] {
        assert_eq!(ConfigPatch::between(Some(&old), &new).apply(Some(&old)), Ok(new.clone()));
        assert_eq!(ConfigPatch::between(None, &new).apply(None), Ok(new));
    }
    let patch = ConfigPatch::between(Some(&empty(1)), &empty(2));
    assert_eq!(patch.apply(Some(&missing(1))), Ok(empty(2)));
    let unreadable = Config { unreadable: 1, ..empty(2) };
    assert_eq!(
        ConfigPatch::between(Some(&listed), &unreadable).apply(Some(&listed)),
        Ok(unreadable)
    );
}

/// Guards against a patch of a build that does not tell an empty list of accounts from a missing one.
#[test]
fn a_patch_without_the_form_of_the_list_of_accounts_is_not_decoded() {
    let mut patch =
        serde_json::to_value(ConfigPatch::between(None, &config(1, Vec::new()))).unwrap();
    assert!(patch.as_object_mut().unwrap().remove("keyless").is_some());
    assert!(serde_json::from_value::<ConfigPatch>(patch).is_err());
}

proptest! {
    #[test]
    fn patches_between_random_versions_apply(
        old in prop::collection::vec((0_u32..30, 1_u64..4), 0..40),
        new in prop::collection::vec((0_u32..30, 1_u64..4), 0..40),
    ) {
        let routes = |items: Vec<(u32, u64)>| {
            items.into_iter().map(|(number, timeout_ms)| route(number, timeout_ms)).collect()
        };
        let (old, new) = (config(1, routes(old)), config(2, routes(new)));
        let patch = ConfigPatch::between(Some(&old), &new);
        prop_assert_eq!(patch.apply(Some(&old)), Ok(new));
    }
}
