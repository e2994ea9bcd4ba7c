//! Identities of the parts of prompts.

use trefoildyke_decide::gateway::shared_part_keys;

/// Returns the keys of the parts without that of the service.
fn keys(text: &str) -> Vec<String> {
    let keys = shared_part_keys(&"svc".into(), text);
    keys.iter().skip(1).map(ToString::to_string).collect()
}

#[test]
fn the_last_part_belongs_to_the_request() {
    assert_eq!(keys("").len(), 0);
    assert_eq!(keys("a1:10").len(), 0);
    assert_eq!(keys("a1:10,b2:20,c3:30").len(), 2);
}

#[test]
fn a_part_has_the_same_key_wherever_it_stands_and_however_long_it_is_said_to_be() {
    let first = keys("a1:10,b2:20,c3:30");
    let second = keys("b2:21, a1 :10,d4:5");
    assert_eq!((&first[0], &first[1]), (&second[1], &second[0]));
    assert_ne!(first[0], first[1]);
}

#[test]
fn parts_of_different_services_have_different_keys() {
    let text = "a1:10,b2:20";
    let other = shared_part_keys(&"other".into(), text);
    assert!(shared_part_keys(&"svc".into(), text).iter().all(|key| !other.contains(key)));
}

#[test]
fn repeated_and_surplus_parts_are_left_out() {
    assert_eq!(keys("a1:10,a1:10,b2:5").len(), 1);
    let many: Vec<_> = (0..100).map(|number| format!("{number:x}:1")).collect();
    assert_eq!(keys(&many.join(",")).len(), 15);
}

#[test]
fn the_first_key_stands_for_the_service() {
    let first = |text| shared_part_keys(&"svc".into(), text).first().copied();
    assert_eq!(first("a1:10,b2:20"), first("c3:10,d4:20"));
    assert_eq!(first("a1:10"), None);
}
