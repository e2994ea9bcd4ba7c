//! Requests under which endpoints are lost.

use trefoildyke_decide::schedule::{Input, Outcome, Output, Report};
use trefoildyke_types::request::{Ask, RefusalKind};

use crate::schedule_support::{Driver, ask, key, permits};

/// The content of the request that crashes endpoints.
const DEADLY: u64 = 7;

fn deadly(number: u64) -> Ask {
    Ask { fingerprint: Some(DEADLY), ..ask(number, 0) }
}

fn refusals(outputs: &[Output]) -> Vec<(RefusalKind, String)> {
    let refusals = outputs.iter().filter_map(|output| match output {
        Output::Shed { refusal, .. } => Some((refusal.kind, refusal.reason.clone())),
        _ => None,
    });
    refusals.collect()
}

/// Grants request `number` and reports that its endpoint was lost while it ran.
fn lose_endpoint(driver: &mut Driver, number: u64) -> Vec<Output> {
    let permit = permits(&driver.ask(deadly(number))).remove(0);
    driver.started(&key(number));
    let outcome = Outcome::Lost;
    driver.report(Report::Finished { key: key(number), tokens: 1, outcome });
    driver.step(Input::EndpointGone(permit.endpoint))
}

#[test]
fn a_request_under_which_three_endpoints_were_lost_is_refused() {
    let mut driver = Driver::new(4, 1);
    for number in 1..=3 {
        lose_endpoint(&mut driver, number);
    }
    let outputs = driver.ask(deadly(4));
    assert_eq!(refusals(&outputs), [(RefusalKind::NotRun, "quarantined".to_owned())]);
    assert!(permits(&outputs).is_empty());
    let other = Ask { fingerprint: Some(DEADLY + 1), ..ask(5, 0) };
    assert_eq!(permits(&driver.ask(other)).len(), 1);
}

/// The same loss is reported by the coordinator and by the list of endpoints; it counts once.
#[test]
fn a_request_under_which_two_endpoints_were_lost_is_granted() {
    let mut driver = Driver::new(4, 1);
    for number in 1..=2 {
        lose_endpoint(&mut driver, number);
    }
    assert_eq!(permits(&driver.ask(deadly(3))).len(), 1);
}

#[test]
fn a_request_that_was_completed_does_not_crash_endpoints() {
    let mut driver = Driver::new(5, 1);
    for number in 1..=2 {
        lose_endpoint(&mut driver, number);
    }
    driver.ask(deadly(3));
    driver.started(&key(3));
    driver.finished(&key(3), 10);
    lose_endpoint(&mut driver, 4);
    assert_eq!(permits(&driver.ask(deadly(5))).len(), 1);
}

#[test]
fn repeats_that_wait_are_refused_when_the_third_endpoint_is_lost() {
    let mut driver = Driver::new(3, 1);
    for number in 1..=2 {
        lose_endpoint(&mut driver, number);
    }
    driver.ask(deadly(3));
    driver.started(&key(3));
    assert!(permits(&driver.ask(deadly(4))).is_empty(), "the last endpoint is busy");
    let outcome = Outcome::Lost;
    let outputs = driver.report(Report::Finished { key: key(3), tokens: 1, outcome });
    assert_eq!(refusals(&outputs), [(RefusalKind::NotRun, "quarantined".to_owned())]);
    assert_eq!(driver.shard.waiting_count(), 0);
}

#[test]
fn an_endpoint_that_leaves_as_planned_is_no_crash() {
    let mut driver = Driver::new(4, 1);
    for number in 1..=3 {
        let permit = permits(&driver.ask(deadly(number))).remove(0);
        driver.started(&key(number));
        driver.step(Input::EndpointLeaving(permit.endpoint.clone()));
        driver.step(Input::EndpointGone(permit.endpoint));
    }
    assert_eq!(permits(&driver.ask(deadly(4))).len(), 1);
}

/// Requests of which no two are alike share a block of their prompts that crashes every endpoint.
#[test]
fn requests_that_share_a_block_under_which_five_endpoints_were_lost_are_refused() {
    let harmful = |number| {
        let prefix = vec![11, 22, 1_000 + number];
        Ask { fingerprint: Some(100 + number), prefix, ..ask(number, 0) }
    };
    let mut driver = Driver::new(9, 1);
    for number in 1..=5 {
        let permit = permits(&driver.ask(harmful(number))).remove(0);
        driver.started(&key(number));
        driver.report(Report::Finished { key: key(number), tokens: 1, outcome: Outcome::Lost });
        driver.step(Input::EndpointGone(permit.endpoint));
        driver.run(100);
        let sound = 20 + number;
        let sound_ask =
            Ask { fingerprint: Some(sound), prefix: vec![11, 2_000 + sound], ..ask(sound, 0) };
        driver.ask(sound_ask);
        driver.started(&key(sound));
        let outcome = Outcome::Whole;
        driver.report(Report::Finished { key: key(sound), tokens: 1, outcome });
    }
    driver.run(3_000);
    let outputs = driver.ask(harmful(6));
    assert_eq!(refusals(&outputs), [(RefusalKind::NotRun, "quarantined".to_owned())]);
}
