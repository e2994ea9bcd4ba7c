//! Former holders, pauses and overtaking orders; and what happens without each guard.

use std::time::Duration;

use trefoildyke_decide::orders;

use super::world::{self, World, order};

const LONG: Duration = Duration::from_secs(60);

/// How the world differs from the usual one.
struct Variant {
    params: orders::Params,
    checks_fencing: bool,
    looks_again: bool,
}

impl Variant {
    fn usual(checks_fencing: bool) -> Self {
        let params = orders::Params { ttl: world::TTL, ..Default::default() };
        Self { params, checks_fencing, looks_again: true }
    }
}

/// Daemon 0 is paused while it opens the connection for order 1; daemon 1 takes over, and order 2
/// comes; then daemon 0 wakes. Returns whether the engine went back to order 1.
fn goes_back_after_a_pause(variant: &Variant) -> bool {
    let mut world = World::new(variant.params, 2);
    world.looks_again = variant.looks_again;
    let first = order(1, variant.checks_fencing);
    let second = order(2, variant.checks_fencing);
    world.configure(0, vec![first.clone()]);
    world.run_until(|world| world.is_writing(0));
    world.pause(0, LONG);
    world.configure(1, vec![first, second]);
    world.run_until(|world| world.applied == [1, 2]);
    world.run(LONG * 2);
    assert!(world.applied.starts_with(&[1, 2]), "{:?}", world.applied);
    world.has_gone_back()
}

#[test]
fn a_former_holder_that_wakes_does_no_harm() {
    for checks_fencing in [true, false] {
        assert!(!goes_back_after_a_pause(&Variant::usual(checks_fencing)));
    }
}

#[test]
fn without_the_last_look_a_former_holder_does_harm_where_the_engine_does_not_check() {
    let careless = |checks| Variant { looks_again: false, ..Variant::usual(checks) };
    assert!(goes_back_after_a_pause(&careless(false)));
    // The fencing token is what protects an engine that checks.
    assert!(!goes_back_after_a_pause(&careless(true)));
}

#[test]
fn without_its_own_clock_a_former_holder_does_harm() {
    let trusting = |checks| {
        let mut variant = Variant::usual(checks);
        variant.params.ttl = LONG * 60;
        variant
    };
    assert!(goes_back_after_a_pause(&trusting(false)));
    assert!(!goes_back_after_a_pause(&trusting(true)));
}

/// Daemon 0's renewals fail until its lease ends; its order 1, written as late as it may, travels
/// for `latency`. Returns whether order 2 of daemon 1 is overtaken.
fn is_overtaken_by_a_slow_order(params: orders::Params, latency: Duration) -> bool {
    let mut world = World::new(params, 2);
    world.latency = latency;
    // The connection takes until just before the lease's end, as its own clock has it.
    world.connect = params.ttl - params.guard - params.settle - Duration::from_millis(400);
    world.configure(0, vec![order(1, false)]);
    world.run_until(|world| world.is_writing(0));
    world.renews = false;
    world.run_until(|world| !world.is_writing(0));
    world.pause(0, LONG);
    world.connect = Duration::from_millis(100);
    world.configure(1, vec![order(2, false)]);
    world.run_until(|world| world.applied.len() == 2);
    world.has_gone_back()
}

#[test]
fn an_order_on_its_way_at_the_lease_s_end_does_not_overtake_the_new_holder_s() {
    let usual = Variant::usual(false).params;
    let latency = Duration::from_secs(4);
    // No margin here, so that the holder's own stop has to suffice.
    let by_stop = orders::Params { margin: Duration::ZERO, ..usual };
    assert!(!is_overtaken_by_a_slow_order(by_stop, latency));
    // Without either, the order is overtaken.
    let neither = orders::Params { guard: Duration::ZERO, settle: Duration::ZERO, ..by_stop };
    assert!(is_overtaken_by_a_slow_order(neither, latency));
    let by_margin = orders::Params { margin: usual.margin, ..neither };
    assert!(!is_overtaken_by_a_slow_order(by_margin, latency));
}

/// A pause between the last look at the clock and the write has the effect of a longer way.
#[test]
fn a_pause_after_the_last_look_does_no_harm_up_to_the_sum_of_the_guards() {
    let usual = Variant::usual(false).params;
    let sum = usual.guard + usual.settle + usual.margin;
    let second = Duration::from_secs(1);
    assert!(!is_overtaken_by_a_slow_order(usual, sum - second));
    // What remains possible where the engine does not check: a longer pause at this very point.
    // The new holder may see only after `retry` that the lease is free.
    assert!(is_overtaken_by_a_slow_order(usual, sum + usual.retry + second));
}

/// Order 1 travels slowly; order 2 comes while it is on its way.
fn overtakes_at_one_engine(params: orders::Params) -> bool {
    let mut world = World::new(params, 1);
    world.latency = Duration::from_millis(1_500);
    world.configure(0, vec![order(1, true), order(2, true)]);
    world.run_until(|world| world.applied.len() == 2);
    world.has_gone_back()
}

#[test]
fn orders_to_one_engine_do_not_overtake_each_other() {
    let usual = Variant::usual(true).params;
    assert!(!overtakes_at_one_engine(usual));
    assert!(overtakes_at_one_engine(orders::Params { per_engine: 2, ..usual }));
}

/// Daemon 1 carries out order 2, which replaced order 1 before that was carried out; then daemon 0,
/// which has not heard of that, takes the lease.
fn goes_back_by_an_old_configuration(minds_version: bool) -> bool {
    let mut world = World::new(Variant::usual(true).params, 2);
    world.minds_version = minds_version;
    world.configure(1, vec![order(2, true)]);
    world.run_until(|world| world.applied == [2] && !world.has_lease(1));
    world.configure(0, vec![order(1, true)]);
    world.run(LONG);
    world.has_gone_back()
}

#[test]
fn an_old_configuration_orders_nothing() {
    assert!(!goes_back_by_an_old_configuration(true));
    // A fencing token does not help here: the old configuration comes with the newest one.
    assert!(goes_back_by_an_old_configuration(false));
}

#[test]
fn two_controllers_that_race_carry_an_order_out_once() {
    let mut world = World::new(Variant::usual(false).params, 2);
    world.configure(0, vec![order(1, false)]);
    world.configure(1, vec![order(1, false)]);
    world.run(LONG);
    assert_eq!(world.applied, [1]);
    assert!(!world.has_lease(0) && !world.has_lease(1));
}
