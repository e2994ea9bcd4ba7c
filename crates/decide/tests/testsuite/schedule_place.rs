//! Tests of the scheduler's placement: learned speeds, prefixes, long prompts, faults.

use std::collections;

use trefoildyke_decide::schedule;
use trefoildyke_types::{engine, id, request, time};

use crate::schedule_support::{Driver, ask, granted, key, key_of, permits};

const PROMPT: u32 = 1_600;

fn with_prefix(number: u64, first: u64) -> request::Ask {
    let mut ask = ask(number, 0);
    ask.prompt_tokens = PROMPT;
    ask.prefix = (0..u64::from(PROMPT / engine::BLOCK_TOKENS)).map(|n| first * 1_000 + n).collect();
    ask
}

/// Runs a request with 50 tokens at 10 ms per token, or `slow` times that on endpoint `e0`.
fn run(driver: &mut Driver, number: u64, slow: u64) -> id::EndpointName {
    let permit = permits(&driver.ask(ask(number, 0))).pop().unwrap();
    let gap = if permit.endpoint.as_str() == "e0" { 10 * slow } else { 10 };
    driver.started(&permit.key);
    driver.advance(gap).first_token(&permit.key);
    driver.advance(gap * 49).progress(&permit.key, 50);
    driver.finished(&permit.key, 50);
    permit.endpoint
}

#[test]
fn slow_endpoint_is_detected_and_avoided() {
    let mut driver = Driver::new(2, 4);
    let mut counts = collections::BTreeMap::<String, u32>::new();
    for number in 0..40 {
        let endpoint = run(&mut driver, number, 4);
        *counts.entry(endpoint.to_string()).or_default() += 1;
    }
    assert!(counts["e1"] > 30, "{counts:?}");
}

#[test]
fn request_goes_to_the_endpoint_with_its_prefix() {
    let mut driver = Driver::new(4, 4);
    let first = permits(&driver.ask(with_prefix(1, 7)))[0].clone();
    assert_eq!(first.cached_tokens, 0);
    driver.started(&key(1));
    driver.advance(100).first_token(&key(1));
    driver.ask(with_prefix(2, 8));
    let again = permits(&driver.advance(10).ask(with_prefix(3, 7)))[0].clone();
    assert_eq!(again.endpoint, first.endpoint);
    assert!(again.cached_tokens > PROMPT * 3 / 4, "{}", again.cached_tokens);
}

#[test]
fn evicted_prefix_does_not_count_as_cached() {
    let mut driver = Driver::new(2, 4);
    let first = permits(&driver.ask(with_prefix(1, 7)))[0].endpoint.clone();
    driver.started(&key(1));
    driver.advance(100).first_token(&key(1));
    let prefix = with_prefix(1, 7).prefix;
    let events = prefix.iter().enumerate().map(|(seq, block)| engine::CacheEvent {
        seq: seq as u64 + 1,
        kind: engine::CacheEventKind::Evicted,
        block: *block,
    });
    let events = events.collect();
    driver.step(schedule::Input::Cache { endpoint: first, events });
    assert_eq!(permits(&driver.ask(with_prefix(2, 7)))[0].cached_tokens, 0);
}

#[test]
fn request_waits_for_a_prefix_that_is_being_processed() {
    let mut driver = Driver::new(2, 4);
    let first = permits(&driver.ask(with_prefix(1, 7)))[0].endpoint.clone();
    driver.started(&key(1));
    assert_eq!(granted(&driver.ask(with_prefix(2, 7))), []);
    let permit = permits(&driver.advance(80).first_token(&key(1)))[0].clone();
    assert_eq!((permit.key, permit.endpoint), (key(2), first));
}

#[test]
fn prefix_affinity_waits_for_a_busy_endpoint_only_briefly() {
    let mut driver = Driver::new(2, 1);
    let first = permits(&driver.ask(with_prefix(1, 7)))[0].endpoint.clone();
    driver.started(&key(1));
    driver.advance(80).first_token(&key(1));
    driver.ask(with_prefix(2, 7));
    let mut tokens = 1;
    let mut found = Vec::new();
    for _ in 0..30 {
        tokens += 5;
        found.extend(permits(&driver.run(50)));
        found.extend(permits(&driver.progress(&key(1), tokens)));
    }
    let permit = found.pop().expect("held for a bounded time only");
    assert_ne!(permit.endpoint, first);
}

#[test]
fn short_prompts_avoid_the_endpoint_with_a_long_prompt() {
    let mut driver = Driver::new(2, 8);
    let mut long = ask(1, 0);
    long.prompt_tokens = 30_000;
    let busy = permits(&driver.ask(long))[0].endpoint.clone();
    driver.started(&key(1));
    for number in 2..9 {
        let permit = permits(&driver.advance(20).ask(ask(number, 0)))[0].clone();
        assert_ne!(permit.endpoint, busy);
        driver.started(&permit.key);
        driver.advance(10).first_token(&permit.key);
    }
}

#[test]
fn long_prompts_leave_an_endpoint_for_short_prompts() {
    let mut driver = Driver::new(2, 8);
    for number in 1..4 {
        let mut long = ask(number, 0);
        long.prompt_tokens = 30_000;
        driver.ask(long);
    }
    assert_eq!(driver.shard.permitted_count(), 1);
    assert_eq!(granted(&driver.ask(ask(9, 0))), [key(9)]);
}

#[test]
fn silent_endpoint_gets_no_requests_until_it_reports() {
    let mut driver = Driver::new(1, 4);
    driver.ask(ask(1, 0));
    driver.started(&key(1));
    driver.advance(20).first_token(&key(1));
    let outputs = driver.run(6_000);
    let probe = schedule::Output::Probe("e0".into());
    assert!(outputs.contains(&probe), "{outputs:?}");
    assert_eq!(granted(&driver.ask(ask(2, 0))), []);
    driver.progress(&key(1), 2);
    assert_eq!(granted(&driver.run(500)), [key(2)]);
}

#[test]
fn old_load_report_does_not_restore_a_silent_endpoint() {
    let mut driver = Driver::new(1, 4);
    driver.ask(ask(1, 0));
    driver.started(&key(1));
    driver.advance(20).first_token(&key(1));
    driver.run(6_000);
    driver.ask(ask(2, 0));
    for _ in 0..3 {
        let report = engine::LoadReport { running: 1, step_us: 8_000, ..Default::default() };
        let as_of = driver.now;
        let endpoint = "e0".into();
        driver.step(schedule::Input::Load { endpoint, as_of, report });
        assert_eq!(granted(&driver.run(500)), []);
    }
}

#[test]
fn external_requests_occupy_slots() {
    let mut driver = Driver::new(1, 4);
    let report = engine::LoadReport { running: 4, step_us: 8_000, ..Default::default() };
    let as_of = driver.now;
    driver.step(schedule::Input::Load { endpoint: "e0".into(), as_of, report });
    assert_eq!(granted(&driver.ask(ask(1, 0))), []);
    let idle = engine::LoadReport::default();
    let as_of = driver.advance(500).now;
    driver.step(schedule::Input::Load { endpoint: "e0".into(), as_of, report: idle });
    assert_eq!(granted(&driver.tick()), [key(1)]);
}

#[test]
fn flooding_account_does_not_starve_another() {
    let mut driver = Driver::new(1, 1);
    driver.ask(ask(0, 0));
    for number in 1..60 {
        let mut flood = ask(number, 0);
        flood.key = key_of("flood", number);
        flood.left_ms = 1_000_000;
        driver.ask(flood);
    }
    let mut quiet = 0;
    let mut running = key(0);
    for number in 100..140 {
        let mut asked = ask(number, 0);
        asked.key = key_of("quiet", number);
        asked.left_ms = 1_000_000;
        driver.ask(asked);
        driver.advance(50);
        running = granted(&driver.finished(&running, 10)).pop().unwrap();
        quiet += u32::from(running.account.as_str() == "quiet");
    }
    assert!((19..=21).contains(&quiet), "{quiet} of 40");
}

#[test]
fn first_time_may_be_any() {
    for start in [0, 1, 1_000_000_000_000] {
        let mut driver = Driver::new(1, 1);
        driver.now = time::Timestamp::from_micros(start);
        assert_eq!(granted(&driver.ask(ask(1, 0))), [key(1)]);
    }
}
