//! The retry budget.

use std::time::Duration;

use trefoildyke_decide::gateway::RetryBudget;
use trefoildyke_types::time::Timestamp;

#[test]
fn the_sum_over_daemons_stays_within_the_shared_bound_in_every_window() {
    let window = Duration::from_secs(10);
    let (ratio, fixed, members) = (0.2, 50.0, 7);
    let mut budgets: Vec<_> =
        (0..members).map(|_| RetryBudget::new(window, ratio, fixed)).collect();
    let mut requests = Vec::new();
    let mut repeats = Vec::new();
    for step in 0..4_000_u64 {
        let now = Timestamp::from_millis(step * 10);
        // Every request fails, at one daemon ten times as often as at another.
        let daemon = if step % 3 == 0 { (step as usize / 3) % members } else { 0 };
        budgets[daemon].request(now);
        requests.push(now);
        for _ in 0..3 {
            if budgets[daemon].take(now, members) {
                repeats.push(now);
            }
        }
        let since = |times: &[Timestamp]| {
            times.iter().filter(|time| now.since(**time) <= window).count() as f64
        };
        assert!(since(&repeats) <= ratio * since(&requests) + fixed);
    }
    assert!(repeats.len() > 500, "{} repeats", repeats.len());
}

#[test]
fn a_budget_is_there_again_after_the_window() {
    let mut budget = RetryBudget::new(Duration::from_secs(10), 0.0, 10.0);
    let taken = (0..20).filter(|_| budget.take(Timestamp::ZERO, 1)).count();
    assert_eq!(taken, 8);
    assert!(!budget.take(Timestamp::from_millis(9_000), 1));
    assert!(budget.take(Timestamp::from_millis(10_001), 1));
}
