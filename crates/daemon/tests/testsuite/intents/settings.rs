//! Tests of the checks of settings; the errors contain the remedy.

use trefoildyke_daemon::intents;

#[test]
fn the_defaults_are_accepted() {
    intents::Settings::default().check().unwrap();
}

#[test]
fn invalid_settings_are_rejected() {
    let default = intents::Settings::default();
    let errors = [
        intents::Settings { buckets: 0, ..default },
        intents::Settings { part_bytes: 100, ..default },
        intents::Settings { buckets: 64, window_ms: 10, ..default },
    ]
    .map(|settings| settings.check().unwrap_err().to_string());
    assert_eq!(
        errors,
        [
            "intents.buckets: it is 0; use 1 or more",
            "intents.part_bytes: it is out of range; use 2048 to 1048576",
            "intents.window_ms: 64 buckets would make 6400 writes a second; \
             use a longer window_ms, fewer buckets, or allow more writes_per_s",
        ]
    );
}

#[test]
fn unknown_fields_are_rejected() {
    let error = serde_yaml_ng::from_str::<intents::Settings>("bucket: 3").unwrap_err();
    assert!(error.to_string().contains("unknown field `bucket`"), "{error}");
}
