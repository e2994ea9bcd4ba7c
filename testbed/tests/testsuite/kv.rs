//! The key-value client against its stand-in: every call, every way to fail.

use std::{net, time};

use testbed::{kv, switch};
use trefoildyke_types::error;
use trefoildyke_wire::{platform, platform::message};

const LONG: time::Duration = time::Duration::from_secs(20);
const SHORT: time::Duration = time::Duration::from_millis(200);

async fn start() -> kv::Running {
    let generous = kv::Settings {
        writes_per_s: 100_000,
        reads_per_s: 100_000,
        delay: time::Duration::ZERO,
        ..kv::Settings::default()
    };
    kv::serve(generous).await.unwrap()
}

fn client(running: &kv::Running, deadline: time::Duration) -> platform::KvClient {
    let settings = platform::KvSettings::new(running.address());
    platform::KvClient::new(platform::KvSettings { deadline, ..settings })
}

fn put(key: &str, value: &str, expect: Option<u64>) -> message::Put {
    message::Put { key: key.to_owned(), value: value.to_owned(), expect, lease: None }
}

fn watch(after: u64, wait: time::Duration) -> message::Watch {
    let wait_ms = u64::try_from(wait.as_millis()).unwrap();
    message::Watch { prefix: "a/".to_owned(), after, wait_ms }
}

#[tokio::test]
async fn compare_and_swap_lets_one_writer_win() {
    let running = start().await;
    let client = client(&running, LONG);
    let first = client.put(&put("a/1", "one", Some(0))).await.unwrap();
    let lost = client.put(&put("a/1", "other", Some(0))).await.unwrap_err();
    let platform::WriteError::Conflict(Some(current)) = lost else { panic!("{lost}") };
    assert_eq!((current.value.as_str(), current.revision), ("one", first.revision));
    let second = client.put(&put("a/1", "two", Some(first.revision))).await.unwrap();
    assert!(second.revision > first.revision);
    let delete = |expect| message::Delete { key: "a/1".to_owned(), expect };
    let old = client.delete(&delete(Some(first.revision))).await.unwrap_err();
    assert!(matches!(old, platform::WriteError::Conflict(Some(_))));
    client.delete(&delete(Some(second.revision))).await.unwrap();
    assert_eq!(client.get("a/1").await.unwrap().entry, None);
    client.close().await;
    running.stop().await;
}

#[tokio::test]
async fn listing_goes_through_all_pages_in_order() {
    let running = start().await;
    let client = client(&running, LONG);
    for number in 0..1203 {
        client.put(&put(&format!("a/{number:04}"), "x", None)).await.unwrap();
    }
    client.put(&put("b", "x", None)).await.unwrap();
    let (entries, revision) = client.list_all("a/").await.unwrap();
    let keys: Vec<String> = entries.into_iter().map(|entry| entry.key).collect();
    let expected: Vec<String> = (0..1203).map(|number| format!("a/{number:04}")).collect();
    assert_eq!(keys, expected);
    assert_eq!(revision, 1204);
}

#[tokio::test]
async fn a_lease_ends_with_its_keys_unless_renewed() {
    let running = start().await;
    let client = client(&running, LONG);
    let kept = client.grant(LONG * 10).await.unwrap();
    let ending = client.grant(time::Duration::from_millis(50)).await.unwrap();
    for (key, lease) in [("a/kept", kept), ("a/ending", ending)] {
        let put = message::Put { lease: Some(lease), ..put(key, "x", Some(0)) };
        client.put(&put).await.unwrap();
    }
    let reply = client.watch(&watch(2, LONG)).await.unwrap();
    assert_eq!(reply.events.len(), 1);
    assert_eq!((reply.events[0].key.as_str(), &reply.events[0].value), ("a/ending", &None));
    assert_eq!(client.renew(ending).await, Err(platform::WriteError::LeaseGone));
    let late = message::Put { lease: Some(ending), ..put("a/late", "x", None) };
    assert_eq!(client.put(&late).await, Err(platform::WriteError::LeaseGone));
    client.renew(kept).await.unwrap();
    client.revoke(kept).await.unwrap();
    assert_eq!(running.entries("a/"), []);
}

#[tokio::test]
async fn a_watch_wakes_for_its_prefix_and_names_what_is_forgotten() {
    let settings = kv::Settings { history: 3, ..kv::Settings::default() };
    let running = kv::serve(settings).await.unwrap();
    let client = client(&running, LONG);
    let waiting = {
        let client = client.clone();
        tokio::spawn(async move { client.watch(&watch(0, LONG)).await })
    };
    client.put(&put("b/1", "other", None)).await.unwrap();
    client.put(&put("a/1", "one", None)).await.unwrap();
    let reply = waiting.await.unwrap().unwrap();
    assert_eq!(reply.events[0].value.as_deref(), Some("one"));
    let quiet = client.watch(&watch(2, time::Duration::from_millis(20))).await.unwrap();
    assert_eq!((quiet.events.len(), quiet.revision), (0, 2));
    for number in 0..3 {
        client.put(&put("a/1", &number.to_string(), None)).await.unwrap();
    }
    assert_eq!(client.watch(&watch(2, SHORT)).await.unwrap().events.len(), 3);
    assert_eq!(client.watch(&watch(1, SHORT)).await, Err(platform::WatchError::TooOld));
}

#[tokio::test]
async fn a_value_may_have_a_megabyte_and_no_more() {
    let running = start().await;
    let client = client(&running, LONG);
    let largest = "\"".repeat(message::MAX_VALUE);
    client.put(&put("a/1", &largest, None)).await.unwrap();
    assert_eq!(client.get("a/1").await.unwrap().entry.unwrap().value, largest);
    let error = client.put(&put("a/1", &(largest + "x"), None)).await.unwrap_err();
    assert_eq!(error.error().kind, error::ErrorKind::TooLarge);
}

#[tokio::test]
async fn rates_are_limited_and_refusals_counted() {
    let settings = kv::Settings { writes_per_s: 1, reads_per_s: 1, ..kv::Settings::default() };
    let running = kv::serve(settings).await.unwrap();
    let client = client(&running, LONG);
    client.put(&put("a/1", "x", None)).await.unwrap();
    client.get("a/1").await.unwrap();
    let mut refused = false;
    for _ in 0..100 {
        refused |= matches!(
            client.put(&put("a/1", "x", None)).await,
            Err(platform::WriteError::Unavailable(_))
        );
    }
    assert!(refused, "100 writes were accepted at a rate of one a second");
    assert!(running.stats().refused > 0);
}

#[tokio::test]
async fn each_failure_says_whether_the_write_can_have_taken_effect() {
    let running = start().await;
    let (client, impatient) = (client(&running, LONG), client(&running, SHORT));
    let set = |kind| running.set_mode(switch::Mode::new(kind));

    set(switch::ModeKind::Down);
    let down = client.put(&put("a/down", "x", None)).await.unwrap_err();
    assert!(matches!(down, platform::WriteError::Unavailable(_)), "{down}");

    set(switch::ModeKind::Silent);
    let silent = impatient.put(&put("a/silent", "x", None)).await.unwrap_err();
    assert!(matches!(silent, platform::WriteError::Unsure(_)), "{silent}");

    set(switch::ModeKind::LoseAnswers);
    let lost = client.put(&put("a/lost", "x", None)).await.unwrap_err();
    assert!(matches!(lost, platform::WriteError::Unsure(_)), "{lost}");
    assert_eq!(client.get("a/lost").await.unwrap().entry.unwrap().value, "x");

    set(switch::ModeKind::Ok);
    let keys: Vec<String> = running.entries("a/").into_iter().map(|entry| entry.key).collect();
    assert_eq!(keys, ["a/lost"]);
    let address = running.address();
    running.stop().await;
    let gone = client.put(&put("a/gone", "x", None)).await.unwrap_err();
    assert!(matches!(gone, platform::WriteError::Unavailable(_)), "{address}: {gone}");
}

#[tokio::test]
async fn a_mode_can_be_for_one_source_and_for_a_number_of_calls() {
    let running = start().await;
    let near = net::IpAddr::from([127, 0, 0, 1]);
    let far = net::IpAddr::from([127, 0, 0, 9]);
    let from = |local| {
        let settings = platform::KvSettings::new(running.address());
        platform::KvClient::new(platform::KvSettings { local: Some(local), ..settings })
    };
    let mode = switch::Mode::new(switch::ModeKind::Down).only(far).calls(2);
    running.set_mode(mode);
    let (near, far) = (from(near), from(far));
    assert!(far.get("a/1").await.is_err());
    assert!(near.get("a/1").await.is_ok());
    assert!(far.get("a/1").await.is_err());
    assert!(far.get("a/1").await.is_ok());
}

#[tokio::test]
async fn a_client_can_be_given_less_time_and_shares_its_health() {
    let running = start().await;
    let patient = client(&running, LONG);
    running.set_mode(switch::Mode::new(switch::ModeKind::Silent));
    let started = time::Instant::now();
    patient.clone().at_most(SHORT).get("a/1").await.unwrap_err();
    assert!(started.elapsed() < LONG, "the longer deadline was waited for");
    assert!(patient.health().failing.is_some());
}

#[tokio::test]
async fn health_tells_since_when_the_service_has_not_answered() {
    let running = start().await;
    let client = client(&running, LONG);
    assert_eq!(client.health(), platform::Health::default());
    client.get("a/1").await.unwrap();
    let answered = client.health().answered.unwrap();
    running.set_mode(switch::Mode::new(switch::ModeKind::Down));
    client.get("a/1").await.unwrap_err();
    let failing = client.health().failing.unwrap();
    assert!(failing >= answered);
    client.get("a/1").await.unwrap_err();
    assert_eq!(client.health().failing, Some(failing), "the outage starts with its first failure");
    running.set_mode(switch::Mode::new(switch::ModeKind::Ok));
    client.get("a/1").await.unwrap();
    assert_eq!(client.health().failing, None);
}
