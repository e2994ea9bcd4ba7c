//! Tests of races between a former and a new lease holder, with every guard and without each one.

use std::time::Duration;

use trefoildyke_decide::orders;

use super::simulation::{self, Simulation, order};

const LONG_PAUSE: Duration = Duration::from_secs(60);

/// The settings in which a simulation differs from the default.
struct Variant {
    params: orders::Params,
    checks_fencing: bool,
    rechecks_clock: bool,
}

impl Variant {
    fn usual(checks_fencing: bool) -> Self {
        let params = orders::Params { ttl: simulation::TTL, ..Default::default() };
        Self { params, checks_fencing, rechecks_clock: true }
    }
}

/// Pauses daemon 0 while it opens the connection for order 1. Daemon 1 takes over and carries out order 2
/// before daemon 0 continues. Returns whether the engine carried out order 1 after order 2.
fn reorders_after_a_pause(variant: &Variant) -> bool {
    let mut simulation = Simulation::new(variant.params, 2);
    simulation.rechecks_clock = variant.rechecks_clock;
    let first = order(1, variant.checks_fencing);
    let second = order(2, variant.checks_fencing);
    simulation.configure(0, vec![first.clone()]);
    simulation.run_until(|simulation| simulation.is_writing(0));
    simulation.pause(0, LONG_PAUSE);
    simulation.configure(1, vec![first, second]);
    simulation.run_until(|simulation| simulation.applied == [1, 2]);
    simulation.run(LONG_PAUSE * 2);
    assert!(simulation.applied.starts_with(&[1, 2]), "{:?}", simulation.applied);
    simulation.is_reordered()
}

#[test]
fn a_former_holder_does_not_reorder_after_a_pause() {
    for checks_fencing in [true, false] {
        assert!(!reorders_after_a_pause(&Variant::usual(checks_fencing)));
    }
}

#[test]
fn without_the_last_clock_check_a_former_holder_reorders_at_an_engine_without_fencing() {
    let unchecked = |checks| Variant { rechecks_clock: false, ..Variant::usual(checks) };
    assert!(reorders_after_a_pause(&unchecked(false)));
    // An engine that checks fencing tokens is protected by the token.
    assert!(!reorders_after_a_pause(&unchecked(true)));
}

#[test]
fn without_its_own_lease_expiry_a_former_holder_reorders() {
    let unexpiring = |checks| {
        let mut variant = Variant::usual(checks);
        variant.params.ttl = LONG_PAUSE * 60;
        variant
    };
    assert!(reorders_after_a_pause(&unexpiring(false)));
    assert!(!reorders_after_a_pause(&unexpiring(true)));
}

/// Lets daemon 0's renewals fail until its lease ends. Daemon 0 writes order 1 at the last permitted
/// moment, and the order takes `latency` to arrive. Returns whether it takes effect after order 2 of
/// daemon 1.
fn reorders_after_a_slow_order(params: orders::Params, latency: Duration) -> bool {
    let mut simulation = Simulation::new(params, 2);
    simulation.latency = latency;
    // The connection is ready just before the time at which the holder stops sending.
    simulation.connect_time =
        params.ttl - params.clock_margin - params.settle_time - Duration::from_millis(400);
    simulation.configure(0, vec![order(1, false)]);
    simulation.run_until(|simulation| simulation.is_writing(0));
    simulation.renewals_succeed = false;
    simulation.run_until(|simulation| !simulation.is_writing(0));
    simulation.pause(0, LONG_PAUSE);
    simulation.connect_time = Duration::from_millis(100);
    simulation.configure(1, vec![order(2, false)]);
    simulation.run_until(|simulation| simulation.applied.len() == 2);
    simulation.is_reordered()
}

#[test]
fn an_order_in_transit_at_the_end_of_the_lease_takes_effect_before_the_new_holders_order() {
    let usual = Variant::usual(false).params;
    let latency = Duration::from_secs(4);
    // Without a takeover delay, the holder's own stop must be sufficient.
    let by_stop = orders::Params { takeover_delay: Duration::ZERO, ..usual };
    assert!(!reorders_after_a_slow_order(by_stop, latency));
    // With neither the takeover delay nor the early stop, order 1 takes effect after order 2.
    let neither =
        orders::Params { clock_margin: Duration::ZERO, settle_time: Duration::ZERO, ..by_stop };
    assert!(reorders_after_a_slow_order(neither, latency));
    let by_delay = orders::Params { takeover_delay: usual.takeover_delay, ..neither };
    assert!(!reorders_after_a_slow_order(by_delay, latency));
}

/// A pause between the last clock check and the write has the same effect as a longer transit time.
#[test]
fn a_pause_after_the_last_clock_check_is_harmless_up_to_the_sum_of_the_guards() {
    let usual = Variant::usual(false).params;
    let sum = usual.clock_margin + usual.settle_time + usual.takeover_delay;
    let second = Duration::from_secs(1);
    assert!(!reorders_after_a_slow_order(usual, sum - second));
    // A longer pause at this point can still reorder orders at an engine without fencing. `retry` is
    // added because the new holder may notice only after `retry` that the lease is free.
    assert!(reorders_after_a_slow_order(usual, sum + usual.retry + second));
}

/// Sends order 1 with a long transit time and order 2 during it. Returns whether order 2 overtakes order 1.
fn reorders_at_one_engine(params: orders::Params) -> bool {
    let mut simulation = Simulation::new(params, 1);
    simulation.latency = Duration::from_millis(1_500);
    simulation.configure(0, vec![order(1, true), order(2, true)]);
    simulation.run_until(|simulation| simulation.applied.len() == 2);
    simulation.is_reordered()
}

#[test]
fn orders_to_one_engine_do_not_overtake_each_other() {
    let usual = Variant::usual(true).params;
    assert!(!reorders_at_one_engine(usual));
    assert!(reorders_at_one_engine(orders::Params { per_engine: 2, ..usual }));
}

/// Lets daemon 1 carry out order 2, which replaced order 1 before order 1 was carried out. Then daemon 0,
/// whose configuration still contains order 1, tries to acquire the lease. Returns whether order 1 is
/// carried out after order 2.
fn reorders_with_an_old_configuration(checks_version: bool) -> bool {
    let mut simulation = Simulation::new(Variant::usual(true).params, 2);
    simulation.checks_version = checks_version;
    simulation.configure(1, vec![order(2, true)]);
    simulation.run_until(|simulation| simulation.applied == [2] && !simulation.has_lease(1));
    simulation.configure(0, vec![order(1, true)]);
    simulation.run(LONG_PAUSE);
    simulation.is_reordered()
}

#[test]
fn a_daemon_with_an_old_configuration_does_not_reorder() {
    assert!(!reorders_with_an_old_configuration(true));
    // A fencing token does not help here: the daemon with the old configuration has the newest token.
    assert!(reorders_with_an_old_configuration(false));
}

#[test]
fn two_controllers_that_race_carry_an_order_out_once() {
    let mut simulation = Simulation::new(Variant::usual(false).params, 2);
    simulation.configure(0, vec![order(1, false)]);
    simulation.configure(1, vec![order(1, false)]);
    simulation.run(LONG_PAUSE);
    assert_eq!(simulation.applied, [1]);
    assert!(!simulation.has_lease(0) && !simulation.has_lease(1));
}
