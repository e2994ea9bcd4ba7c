//! Tests that the model reaches the states it is meant to cover.

use trefoildyke_decide::coordinate;
use trefoildyke_spec::requests::{Bounds, Kind, Operation, Step, Told, World, reach};
use trefoildyke_types::request;

const ONCE: Kind = Kind::Chosen { idempotent: false };

fn steps(bounds: &Bounds, goal: impl Fn(&World) -> bool) -> String {
    reach(bounds, goal).expect("the goal is unreachable").join("\n")
}

fn answered(world: &World) -> bool {
    world.caller.told == Some(Told::Answer)
}

fn told_unknown(world: &World) -> bool {
    world.caller.told == Some(Told::Refusal(request::RefusalKind::OutcomeUnknown))
}

/// Returns whether the record was written by the daemon's current request.
fn recorded_by(world: &World, daemon: usize) -> bool {
    let own = world.daemons[daemon].request.as_ref().map(coordinate::RequestState::nonce);
    let record = world.record.as_ref().map(request::Record::nonce);
    own.is_some() && own == record
}

#[test]
fn what_only_waited_at_a_dead_coordinator_is_answered_elsewhere() {
    for kind in [ONCE, Kind::Issued] {
        let goal =
            |world: &World| answered(world) && !world.daemons[0].alive && recorded_by(world, 1);
        let steps = steps(&Bounds::new(2, kind), goal);
        assert!(steps.contains(&Step::Answer(1).to_string()), "{steps}");
    }
}

#[test]
fn what_runs_for_a_dead_coordinator_is_resumed_elsewhere() {
    let goal = |world: &World| {
        let died = !world.daemons[0].alive;
        let elsewhere = world.daemons[1].request.is_some() && world.record.is_some();
        answered(world) && died && elsewhere && !recorded_by(world, 1)
    };
    insta::assert_snapshot!(steps(&Bounds::new(2, ONCE), goal));
}

#[test]
fn a_write_takes_effect_and_its_answer_is_lost() {
    let lost = |world: &World| world.daemons[0].operations == [Operation::Read];
    let bounds = Bounds { attempts: 1, ..Bounds::new(1, ONCE) };
    assert!(reach(&bounds, |world| lost(world) && recorded_by(world, 0)).is_some());
}

#[test]
fn a_crash_between_intent_and_dispatch_leaves_the_outcome_unknown() {
    let goal = |world: &World| {
        let ran = !world.started.is_empty() || !world.late_sends.is_empty();
        let looked = world.daemons[1].operations.is_empty() && world.daemons[1].request.is_some();
        let recorded = matches!(world.record, Some(request::Record::Intent(_)));
        told_unknown(world) && !world.daemons[0].alive && recorded && looked && !ran
    };
    insta::assert_snapshot!(steps(&Bounds::new(2, ONCE), goal));
}
