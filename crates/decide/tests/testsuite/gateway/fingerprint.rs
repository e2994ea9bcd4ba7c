//! Fingerprints that identify repeated requests.

use trefoildyke_decide::gateway::Fingerprint;

const PARTS: [&[u8]; 4] = [b"POST", b"claims.example", b"/letters/7?full=1", b"body"];

#[test]
fn the_same_request_of_the_same_caller_has_the_same_fingerprint() {
    let account = "cascadia".into();
    assert_eq!(Fingerprint::of(Some(&account), PARTS), Fingerprint::of(Some(&account), PARTS));
}

#[test]
fn another_caller_method_host_target_or_body_is_another_request() {
    let account = "cascadia".into();
    let first = Fingerprint::of(Some(&account), PARTS);
    assert_ne!(first, Fingerprint::of(None, PARTS));
    assert_ne!(first, Fingerprint::of(Some(&"agec".into()), PARTS));
    for part in 0..PARTS.len() {
        let mut parts = PARTS;
        parts[part] = b"other";
        assert_ne!(first, Fingerprint::of(Some(&account), parts), "part {part}");
    }
}

#[test]
fn bytes_that_move_from_one_part_to_the_next_are_another_request() {
    let first = Fingerprint::of(None, [b"POST", b"a", b"/x", b"yz"]);
    assert_ne!(first, Fingerprint::of(None, [b"POST", b"a", b"/xy", b"z"]));
}

#[test]
fn a_fingerprint_survives_formatting_and_parsing() {
    let first = Fingerprint::of(None, PARTS);
    let text = first.to_string();
    assert_eq!(text.len(), 16);
    assert_eq!(text.parse(), Ok(first));
}
