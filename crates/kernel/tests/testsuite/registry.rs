use trefoildyke_kernel as kernel;

#[test]
fn finds_what_was_published() {
    let registry = kernel::Registry::default();
    registry.publish("words", vec!["a".to_owned()]).unwrap();
    assert_eq!(registry.find::<Vec<String>>("words").unwrap(), ["a"]);
    assert_eq!(registry.names(), ["words"]);
}

#[test]
fn refusals_name_the_remedy() {
    let registry = kernel::Registry::default();
    registry.publish("words", 1_u8).unwrap();
    let taken = registry.publish("words", 2_u8).unwrap_err().to_string();
    assert_eq!(taken, "a service is already published as `words`; choose another name");
    let wrong = registry.find::<u16>("words").unwrap_err().to_string();
    assert_eq!(wrong, "the service `words` is not a `u16`; look for the type that it publishes");
    let missing = registry.find::<u16>("other").unwrap_err().to_string();
    assert!(missing.ends_with("start it before the services that look for it"), "{missing}");
}
