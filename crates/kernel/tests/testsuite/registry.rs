use trefoildyke_kernel as kernel;

#[test]
fn find_returns_the_published_handle() {
    let registry = kernel::Registry::default();
    registry.publish("words", vec!["a".to_owned()]).unwrap();
    assert_eq!(registry.find::<Vec<String>>("words").unwrap(), ["a"]);
    assert_eq!(registry.names(), ["words"]);
}

#[test]
fn errors_name_the_remedy() {
    let registry = kernel::Registry::default();
    registry.publish("words", 1_u8).unwrap();
    let name_taken = registry.publish("words", 2_u8).unwrap_err().to_string();
    assert_eq!(name_taken, "a service is already published as `words`; choose another name");
    let wrong_type = registry.find::<u16>("words").unwrap_err().to_string();
    assert_eq!(
        wrong_type,
        "the service `words` is not a `u16`; look for the type that it publishes"
    );
    let not_published = registry.find::<u16>("other").unwrap_err().to_string();
    assert!(
        not_published.ends_with("start it before the services that look for it"),
        "{not_published}"
    );
}
