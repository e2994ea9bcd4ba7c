//! What is learned of engines, and what follows from it.

use trefoildyke_decide::gateway::{Demand, Grant, Outcome, Pool};

use super::support::{at, demand, granted, grants, pool, queued, told_of};

/// Teaches a pool an endpoint's engine by `count` streams.
fn teach(pool: &mut Pool, name: &str, count: u32, step_ms: f64, first: impl Fn(u32) -> f64) {
    for number in 0..count {
        let prompt = 500 + number % 5 * 1_500;
        let grant = Grant { prompt, ..told_of(name) };
        for _ in 0..6 {
            pool.event(at(0), &grant, step_ms * 4.0 / 1_000.0);
        }
        pool.first(at(first(prompt) as u64), &grant, prompt);
    }
}

/// Engines that differ by a factor of five in each: the time of a step, of a prompt token, of a first event.
#[test]
fn what_is_predicted_of_an_engine_follows_from_a_few_streams() {
    let families = [(1.5, 0.004, 30.0), (7.5, 0.004, 150.0), (7.5, 0.02, 30.0), (3.0, 0.1, 150.0)];
    for (step_ms, prompt_ms, begin_ms) in families {
        let first = |prompt: u32| begin_ms + f64::from(prompt) * prompt_ms;
        let mut pool = pool(&["one"]);
        teach(&mut pool, "one", 30, step_ms, first);
        for prompt in [300, 3_000, 6_000] {
            let mut pool = pool.clone();
            let demand = Demand { prompt, objective: at(60_000), ..demand(2_000, 0) };
            let grant = granted(pool.arrive(at(2_000), Demand { leaves: at(60_000), ..demand }));
            let error = f64::from(grant.first_ms) / first(prompt);
            assert!((0.75..1.3).contains(&error), "{step_ms} {prompt_ms} {begin_ms}: {error}");
        }
    }
}

/// One endpoint four times as slow as the other. A long answer waits no longer where it can end.
#[test]
fn an_answer_that_may_not_end_in_time_at_a_slow_endpoint_goes_to_a_fast_one() {
    let mut pool = pool(&["fast", "slow"]);
    teach(&mut pool, "fast", 20, 3.0, |prompt| 45.0 + f64::from(prompt) * 0.006);
    teach(&mut pool, "slow", 20, 12.0, |prompt| 180.0 + f64::from(prompt) * 0.024);
    let long = Demand { expected: 900.0, deadline: at(14_000), ..demand(2_000, 0) };
    let short = Demand { expected: 30.0, ..demand(2_000, 0) };
    assert_eq!(granted(pool.clone().arrive(at(2_000), long)).endpoint.as_str(), "fast");
    assert_eq!(granted(pool.arrive(at(2_000), short)).endpoint.as_str(), "slow");
}

/// Two slow endpoints beside a fast one: in the mean a first event would come too late, at the fast one it does not.
#[test]
fn nothing_is_late_before_no_endpoint_can_be_in_time() {
    let mut pool = pool(&["fast", "slow", "slower"]);
    teach(&mut pool, "fast", 20, 2.0, |prompt| 40.0 + f64::from(prompt) * 0.004);
    for name in ["slow", "slower"] {
        teach(&mut pool, name, 20, 20.0, |prompt| 400.0 + f64::from(prompt) * 0.04);
    }
    for _ in 0..6 {
        granted(pool.arrive(at(2_000), demand(2_000, 0)));
    }
    // Comes first, and would be the first to be late by a mean of 280 ms.
    let earlier =
        queued(pool.arrive(at(2_100), Demand { objective: at(2_350), ..demand(2_100, 0) }));
    queued(pool.arrive(at(2_110), demand(2_110, 0)));
    let grant = Grant { start: 0, ..told_of("fast") };
    pool.end(at(2_150), &grant, 0, Outcome::Served);
    assert_eq!(grants(&mut pool, 2_150)[0].0, earlier);
}
