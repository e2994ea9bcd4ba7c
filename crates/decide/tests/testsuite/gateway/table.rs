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

fn config() -> Config {
    let account = Account {
        name: "cascadia".into(),
        keys: vec!["k1".to_owned(), "k2".to_owned()],
        priority: None,
        rate: 0.0,
        burst: 0.0,
        unit: AccountUnit::Requests,
    };
    let routes = vec![route("short", "/a/"), route("long", "/a/b/"), route("open", "/open/")];
    Config { version: 3, routes, accounts: vec![account], ..Config::default() }
}

fn table() -> Table {
    Table::new(config())
}

fn found(host: &str, path: &str, key: Option<&str>) -> Result<String, Denied> {
    let table = table();
    let admitted = table.admit(table.route(host, path), key.map(str::as_bytes), true);
    admitted.map(|admitted| admitted.route.name.clone())
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

/// Returns what becomes of requests with a key that accounts had, with an empty one, and without one, on a route
/// that is not public; `None` if they are admitted.
fn denials(table: &Table) -> [Option<Denied>; 3] {
    denials_on(table, "/a/", true)
}

fn denials_on(table: &Table, path: &str, confirmed: bool) -> [Option<Denied>; 3] {
    let keys = [Some(b"k1".as_slice()), Some(b"".as_slice()), None];
    keys.map(|key| table.admit(table.route("claims.example", path), key, confirmed).err())
}

/// Guards against admitting every request once the last account is removed.
#[test]
fn an_empty_list_of_accounts_admits_no_key() {
    let denied = Some(Denied::NoKey);
    let table = Table::new(Config { accounts: Vec::new(), ..config() });
    assert_eq!(denials(&table), [denied; 3]);
    assert_eq!(denials_on(&table, "/open/", true), [None; 3]);
    assert_eq!(denials(&table.with_unused_keys()), [denied; 3]);
}

/// Guards against keys that stay valid, or were never valid, at a version without a list of accounts.
#[test]
fn a_missing_list_of_accounts_admits_requests_without_a_key() {
    let config = Config { accounts: Vec::new(), keyless: true, ..config() };
    let table = Table::new(config.clone());
    assert_eq!(denials(&table), [Some(Denied::NoKey), Some(Denied::NoKey), None]);
    assert_eq!(denials(&Table::new(config).with_unused_keys()), [None; 3]);
}

#[test]
fn a_configuration_needs_keys_by_default() {
    let routes = config().routes;
    let table = Table::new(Config { routes, ..Config::default() });
    assert_eq!(denials(&table), [Some(Denied::NoKey); 3]);
}

/// Guards against what an outdated version admits or denies without having found an account.
#[test]
fn an_unconfirmed_version_admits_only_requests_to_public_routes() {
    let unconfirmed = [Some(Denied::Unconfirmed); 3];
    let empty = Config { accounts: Vec::new(), ..config() };
    let keyless = Config { keyless: true, ..empty.clone() };
    for config in [config(), empty, keyless.clone()] {
        let table = Table::new(config);
        assert_eq!(denials_on(&table, "/a/", false), unconfirmed);
        assert_eq!(denials_on(&table, "/none/", false), unconfirmed);
        assert_eq!(denials_on(&table, "/open/", false), [None; 3]);
    }
    let table = Table::new(keyless).with_unused_keys();
    assert_eq!(denials_on(&table, "/a/", false), [None; 3]);
    assert_eq!(denials_on(&table, "/none/", false), unconfirmed);
    assert_eq!(denials_on(&Table::new(config()).with_unused_keys(), "/a/", false), unconfirmed);
}

fn account(name: &str, keys: &[&str], rate: f64) -> Account {
    Account {
        name: name.into(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        rate,
        ..config().accounts.remove(0)
    }
}

/// Returns the name and the rate of the account to which a key belongs.
fn owner(table: &Table, key: &str) -> Option<(String, f64)> {
    let admitted = table.admit(table.route("claims.example", "/a/"), Some(key.as_bytes()), true);
    admitted.ok()?.account.map(|account| (account.name.as_str().to_owned(), account.rate))
}

/// Guards against two quotas, or none, for one account that is listed twice.
#[test]
fn accounts_of_one_name_share_the_tightest_quota() {
    let rates = [[0.0, 5.0, 9.0], [9.0, 0.0, 5.0], [5.0, 9.0, 0.0]];
    for rates in rates {
        let accounts = [("k1", rates[0]), ("k2", rates[1]), ("k3", rates[2])];
        let accounts = accounts.map(|(key, rate)| account("cascadia", &[key], rate)).to_vec();
        let config = Config { accounts, ..config() };
        assert_eq!(config.duplicates(), 2);
        let table = Table::new(config);
        assert_eq!(table.account(&"cascadia".into()).unwrap().rate, 5.0);
        for key in ["k1", "k2", "k3"] {
            assert_eq!(owner(&table, key), Some(("cascadia".to_owned(), 5.0)));
        }
    }
}

#[test]
fn a_key_of_two_accounts_belongs_to_the_first() {
    let accounts = vec![account("cascadia", &["k1"], 1.0), account("agec", &["k1", "k2"], 2.0)];
    let config = Config { accounts, ..config() };
    assert_eq!(config.duplicates(), 1);
    let table = Table::new(config);
    assert_eq!(owner(&table, "k1"), Some(("cascadia".to_owned(), 1.0)));
    assert_eq!(owner(&table, "k2"), Some(("agec".to_owned(), 2.0)));
}

/// Guards against admitting callers that send the header of the key without a value.
#[test]
fn an_empty_key_belongs_to_no_account() {
    let accounts = vec![account("cascadia", &["", "k1"], 1.0)];
    let table = Table::new(Config { accounts, ..config() });
    assert_eq!(owner(&table, ""), None);
    assert_eq!(owner(&table, "k1"), Some(("cascadia".to_owned(), 1.0)));
}

/// Guards against a caller that is denied for good, or admitted, because its account could not be read.
#[test]
fn a_key_that_may_belong_to_an_unreadable_account_is_neither_admitted_nor_denied() {
    let table = Table::new(Config { unreadable: 1, ..config() });
    assert_eq!(denials(&table), [None, Some(Denied::Unreadable), Some(Denied::NoKey)]);
    let table = Table::new(Config { unreadable: 1, accounts: Vec::new(), ..config() });
    let unreadable = Some(Denied::Unreadable);
    assert_eq!(denials(&table), [unreadable, unreadable, Some(Denied::NoKey)]);
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
