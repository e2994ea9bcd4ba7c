//! Measurements of engines, and the decisions that follow from them.

use trefoildyke_decide::gateway::{Grant, Outcome, Pool, PoolRequest};

use super::support::{at, grant_at, granted, grants, pool, queued, request};

/// Records `count` streams of an endpoint's engine.
fn record_streams(
    pool: &mut Pool,
    name: &str,
    count: u32,
    step_ms: f64,
    first: impl Fn(u32) -> f64,
) {
    for number in 0..count {
        let prompt = 500 + number % 5 * 1_500;
        let grant = Grant { prompt, ..grant_at(name) };
        for _ in 0..6 {
            pool.record_event(at(0), &grant, step_ms * 4.0 / 1_000.0);
        }
        pool.record_first_event(at(first(prompt) as u64), &grant, prompt);
    }
}

/// The engines differ by a factor of five in the times of a step, of a prompt token and of a first event.
#[test]
fn predictions_for_an_engine_converge_after_a_few_streams() {
    let engines = [(1.5, 0.004, 30.0), (7.5, 0.004, 150.0), (7.5, 0.02, 30.0), (3.0, 0.1, 150.0)];
    for (step_ms, prompt_ms, overhead_ms) in engines {
        let first = |prompt: u32| overhead_ms + f64::from(prompt) * prompt_ms;
        let mut pool = pool(&["one"]);
        record_streams(&mut pool, "one", 30, step_ms, first);
        for prompt in [300, 3_000, 6_000] {
            let mut pool = pool.clone();
            let request = PoolRequest { prompt, objective: at(60_000), ..request(2_000, 0) };
            let grant =
                granted(pool.submit(at(2_000), PoolRequest { leaves_at: at(60_000), ..request }));
            let ratio = f64::from(grant.first_ms) / first(prompt);
            assert!((0.75..1.3).contains(&ratio), "{step_ms} {prompt_ms} {overhead_ms}: {ratio}");
        }
    }
}

/// One endpoint is four times as slow as the other, so the long answer might not end in time there.
#[test]
fn an_answer_that_may_not_end_in_time_at_a_slow_endpoint_goes_to_a_fast_one() {
    let mut pool = pool(&["fast", "slow"]);
    record_streams(&mut pool, "fast", 20, 3.0, |prompt| 45.0 + f64::from(prompt) * 0.006);
    record_streams(&mut pool, "slow", 20, 12.0, |prompt| 180.0 + f64::from(prompt) * 0.024);
    let long = PoolRequest { expected_tokens: 900.0, deadline: at(14_000), ..request(2_000, 0) };
    let short = PoolRequest { expected_tokens: 30.0, ..request(2_000, 0) };
    assert_eq!(granted(pool.clone().submit(at(2_000), long)).endpoint.as_str(), "fast");
    assert_eq!(granted(pool.submit(at(2_000), short)).endpoint.as_str(), "slow");
}

/// Two endpoints are slow and one is fast: a first event would be late at mean speed, but not at the fast
/// endpoint.
#[test]
fn a_request_is_not_late_while_any_endpoint_can_serve_it_in_time() {
    let mut pool = pool(&["fast", "slow", "slower"]);
    record_streams(&mut pool, "fast", 20, 2.0, |prompt| 40.0 + f64::from(prompt) * 0.004);
    for name in ["slow", "slower"] {
        record_streams(&mut pool, name, 20, 20.0, |prompt| 400.0 + f64::from(prompt) * 0.04);
    }
    for _ in 0..6 {
        granted(pool.submit(at(2_000), request(2_000, 0)));
    }
    // This request arrives first, and would be the first to be late at a mean time to the first event of
    // 280 ms.
    let earlier =
        queued(pool.submit(at(2_100), PoolRequest { objective: at(2_350), ..request(2_100, 0) }));
    queued(pool.submit(at(2_110), request(2_110, 0)));
    let grant = Grant { start: 0, ..grant_at("fast") };
    pool.end_request(at(2_150), &grant, 0, Outcome::Served);
    assert_eq!(grants(&mut pool, 2_150)[0].0, earlier);
}
