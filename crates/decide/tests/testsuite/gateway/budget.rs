//! The retry budget.

use std::time::Duration;

use trefoildyke_decide::gateway::{Mesh, RetryBudget, RetryUsage};
use trefoildyke_types::time::Timestamp;

use super::mesh::{mesh_of, peers};

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
            if budgets[daemon].take(now, 1.0 / members as f64) {
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
    let taken = (0..20).filter(|_| budget.take(Timestamp::ZERO, 1.0)).count();
    assert_eq!(taken, 8);
    assert!(!budget.take(Timestamp::from_millis(9_000), 1.0));
    assert!(budget.take(Timestamp::from_millis(10_001), 1.0));
}

// The fixed number was divided by the members of the moment. When four of seven were not listed any more, the other three
// took a third each right after all seven had used a seventh: 122 repeats in a window of 100. Found by reading, after the same cause had
// let an account exceed its quota.
#[test]
fn the_fixed_number_holds_over_the_loss_of_members() {
    let members = peers(7);
    let mut daemons: Vec<_> = members
        .iter()
        .map(|own| {
            let budget = RetryBudget::new(Duration::from_secs(10), 0.0, 100.0);
            (mesh_of(own.address, &members), budget)
        })
        .collect();
    let mut repeats = 0;
    for (ms, left) in [(1_000, 7), (5_000, 3)] {
        let now = Timestamp::from_millis(ms);
        for (mesh, budget) in daemons.iter_mut().take(left) {
            mesh.replace(now, &members[..left]);
            while budget.take(now, mesh.equal_share(now)) {
                repeats += 1;
            }
        }
    }
    assert!(repeats <= 100, "{repeats}");
    let later = Timestamp::from_millis(16_000);
    assert_eq!(daemons[0].0.count_lately(later), 3);
    assert_eq!(daemons[0].0.equal_share(later), 1.0 / 3.0);
}

#[test]
fn usage_reports_counted_repeats_and_limit() {
    let mut budget = RetryBudget::new(Duration::from_secs(10), 0.5, 20.0);
    let now = Timestamp::ZERO;
    (0..10).for_each(|_| budget.request(now));
    assert!(budget.take(now, 0.25));
    // 0.8 * (0.5 * 10 requests + 20 / 4 members) = 8
    assert_eq!(budget.usage(now, 0.25), RetryUsage { repeats: 1, limit: 8 });
    let later = Timestamp::from_millis(10_001);
    assert_eq!(budget.usage(later, 0.25), RetryUsage { repeats: 0, limit: 4 });
}

// Guards against each daemon using the whole fixed number before it has read the list of members.
#[test]
fn the_fixed_number_holds_while_no_daemon_has_read_the_list_of_members() {
    let mut repeats = 0;
    for own in peers(7) {
        let mesh = Mesh::new(own.address, Duration::from_millis(650));
        let mut budget = RetryBudget::new(Duration::from_secs(10), 0.0, 100.0);
        while budget.take(Timestamp::ZERO, mesh.equal_share(Timestamp::ZERO)) {
            repeats += 1;
        }
    }
    assert!(repeats <= 100, "{repeats}");
}

// Guards against daemons with lapsed entries keeping shares that the listed members have divided
// among themselves.
#[test]
fn the_fixed_number_holds_while_daemons_are_cut_off_from_the_store() {
    let members = peers(7);
    let listed_until = Timestamp::from_millis(5_000);
    let mut repeats = 0;
    let now = Timestamp::from_millis(30_000);
    for (index, own) in members.iter().enumerate() {
        let mut mesh = mesh_of(own.address, &members);
        if index < 2 {
            mesh.note_entry(listed_until);
        } else {
            mesh.replace(listed_until, &members[2..]);
            mesh.note_entry(now + Duration::from_millis(5_000));
        }
        let mut budget = RetryBudget::new(Duration::from_secs(10), 0.0, 100.0);
        while budget.take(now, mesh.equal_share(now)) {
            repeats += 1;
        }
    }
    assert!(repeats <= 100, "{repeats}");
}
