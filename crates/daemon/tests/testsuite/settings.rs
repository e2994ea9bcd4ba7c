use trefoildyke_daemon::settings;

const MINIMAL: &str = "{host: entry-1, zone: salem, peers: {keys: [sixteen-bytes-or-more]}";

fn error(more: &str) -> String {
    settings::Settings::from_yaml(&format!("{MINIMAL}{more}}}")).unwrap_err().to_string()
}

#[test]
fn a_minimal_file_takes_every_default() {
    let settings = settings::Settings::from_yaml(&format!("{MINIMAL}}}")).unwrap();
    assert_eq!(settings.callers, settings::Callers::default());
    assert_eq!(settings.host.as_str(), "entry-1");
}

#[test]
fn unknown_keys_are_rejected_with_the_remedy() {
    let error = error(", listen: {caller: '127.0.0.1:1'}");
    assert!(error.contains("listen: unknown field `caller`"), "{error}");
    assert!(error.ends_with("prints every key with its default"), "{error}");
}

#[test]
fn values_out_of_range_name_the_field_and_the_remedy() {
    assert_eq!(
        error(", callers: {beat_ms: 5000}"),
        "callers.beat_ms: 5000 is outside its range; use 1 to 1000 milliseconds"
    );
    assert_eq!(
        error(", coordinate: {isolation_ms: 1}"),
        "coordinate.isolation_ms: 1 is outside its range; use 100 to 600000 milliseconds"
    );
    let missing = settings::Settings::from_yaml("{}").unwrap_err().to_string();
    assert!(missing.starts_with("host: no value is set"), "{missing}");
    let short = "{host: a, zone: b, peers: {keys: [short]}}";
    let short = settings::Settings::from_yaml(short).unwrap_err().to_string();
    assert!(short.starts_with("peers.keys: "), "{short}");
}

#[test]
fn keys_are_never_shown() {
    let settings = settings::Settings::from_yaml(&format!("{MINIMAL}}}")).unwrap();
    let shown = format!("{settings:?}{}", settings.to_yaml().unwrap());
    assert!(!shown.contains("sixteen"), "{shown}");
}
