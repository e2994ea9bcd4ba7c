//! Lookups in the configuration.

use trefoildyke_decide::gateway::{
    Account, AccountUnit, Config, Denied, Route, RouteKind, Table, Target,
};

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "claims.example".to_owned(),
        prefix: prefix.to_owned(),
        targets: vec![Target { service: "assistant".into(), weight: 1.0 }],
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        objective_ms: 300,
        gap_ms: 0,
        patience_ms: None,
        priority: 0,
        attempts: 1,
        public: name == "open",
    }
}

fn table() -> Table {
    let account = Account {
        name: "cascadia".into(),
        keys: vec!["k1".to_owned(), "k2".to_owned()],
        priority: None,
        rate: 0.0,
        burst: 0.0,
        unit: AccountUnit::Requests,
    };
    let routes = vec![route("short", "/a/"), route("long", "/a/b/"), route("open", "/open/")];
    Table::new(Config { version: 3, routes, accounts: vec![account], ..Config::default() })
}

fn found(host: &str, path: &str, key: Option<&str>) -> Result<String, Denied> {
    table().admit(host, path, key).map(|admitted| admitted.route.name.clone())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    assert_eq!(found("claims.example", "/a/b/c", Some("k1")).as_deref(), Ok("long"));
    assert_eq!(found("claims.example", "/a/x", Some("k2")).as_deref(), Ok("short"));
    assert_eq!(found("claims.example:8080", "/a/b", Some("k2")).as_deref(), Ok("short"));
    assert_eq!(found("CLAIMS.example", "/a/", Some("k2")).as_deref(), Ok("short"));
}

#[test]
fn other_hosts_and_paths_have_no_route() {
    assert_eq!(found("other.example", "/a/", Some("k1")), Err(Denied::NoRoute));
    assert_eq!(found("claims.example", "/a", Some("k1")), Err(Denied::NoRoute));
}

#[test]
fn a_key_is_needed_except_on_public_routes() {
    assert_eq!(found("claims.example", "/a/", None), Err(Denied::NoKey));
    assert_eq!(found("claims.example", "/a/", Some("k3")), Err(Denied::NoKey));
    assert_eq!(found("claims.example", "/open/", None).as_deref(), Ok("open"));
}

#[test]
fn a_split_follows_the_weights() {
    let mut split = route("split", "/s/");
    split.targets = vec![
        Target { service: "old".into(), weight: 9.0 },
        Target { service: "none".into(), weight: 0.0 },
        Target { service: "new".into(), weight: 1.0 },
    ];
    let picked = |draw| split.pick(draw).map(|name| name.as_str().to_owned());
    assert_eq!(picked(0.0).as_deref(), Some("old"));
    assert_eq!(picked(0.89).as_deref(), Some("old"));
    assert_eq!(picked(0.9).as_deref(), Some("new"));
    assert_eq!(picked(0.999_999).as_deref(), Some("new"));
}
