//! The configurations in `examples/` are valid and have the intended sizes.

use std::{collections, path};

use trefoildyke_daemon::settings;
use trefoildyke_decide::config;
use trefoildyke_types::{id, resource};

fn directory(name: &str) -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name)
}

/// Applies all resource files of a deployment in one change.
fn applied(name: &str) -> config::Snapshot {
    let mut set = config::ChangeSet::default();
    for file in ["tiers.yaml", "accounts.yaml", "pools.yaml"] {
        let text = std::fs::read_to_string(directory(name).join(file)).unwrap();
        set.puts.extend(config::from_yaml(&text).unwrap());
    }
    config::apply(&config::Snapshot::default(), &set).unwrap()
}

fn zones(snapshot: &config::Snapshot, pool: &str) -> collections::BTreeSet<String> {
    let endpoints = snapshot.endpoints_of(&id::PoolName::new(pool));
    endpoints.iter().map(|name| snapshot.endpoint(name).unwrap().zone.to_string()).collect()
}

#[test]
fn both_deployments_are_valid_and_have_their_sizes() {
    let deployments = [
        ("cascadia", 4, [("assistant", 18), ("portal", 4)], "determination"),
        ("agec", 3, [("tutoring", 9), ("mail-office", 3)], "correction"),
    ];
    for (name, zone_count, pools, highest) in deployments {
        let snapshot = applied(name);
        assert_eq!(snapshot.of_kind(resource::Kind::ClientAccount).count(), 5);
        assert_eq!(snapshot.tiers()[&0].as_str(), highest);
        for (pool, count) in pools {
            assert_eq!(snapshot.endpoints_of(&id::PoolName::new(pool)).len(), count, "{pool}");
        }
        assert_eq!(zones(&snapshot, pools[0].0).len(), zone_count);
    }
}

#[test]
fn the_keys_in_the_comments_are_the_ones_that_are_hashed() {
    use sha2::Digest as _;
    for name in ["cascadia", "agec"] {
        let snapshot = applied(name);
        for account in snapshot.of_kind(resource::Kind::ClientAccount) {
            let key = format!("example-key-of-{name}-{}", account.name);
            let hash = config::KeyHash::new(sha2::Sha256::digest(key).into());
            assert_eq!(snapshot.account_by_key(&hash).unwrap().as_str(), account.name);
        }
    }
}

#[test]
fn the_settings_are_valid() {
    for name in ["cascadia", "agec"] {
        let settings = settings::Settings::read(&directory(name).join("daemon.yaml")).unwrap();
        assert_eq!(settings.operators.token_hashes.len(), 1);
    }
}
