//! Long random walks, beyond the bounds of the exhaustive search.

use std::mem;

use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, TestRng, TestRunner},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use trefoildyke_spec::requests::{Bounds, Guards, Kind, Step, World, next};

fn bounds(kind: Kind) -> Bounds {
    let deaths = 2;
    Bounds {
        attempts: 6,
        deaths,
        spare_permits: 3,
        connects: 3,
        ageing: true,
        ..Bounds::new(4, kind)
    }
}

const KINDS: [Kind; 2] = [Kind::Chosen { idempotent: false }, Kind::Issued];

/// A random walk: its bounds and its current state.
#[derive(Clone, Debug)]
struct Walk {
    bounds: Bounds,
    world: World,
}

impl ReferenceStateMachine for Walk {
    type State = Self;
    /// The index of the step among the possible steps, and its name.
    type Transition = (usize, String);

    fn init_state() -> BoxedStrategy<Self> {
        let kinds = proptest::sample::select(KINDS.to_vec());
        kinds
            .prop_map(|kind| {
                let bounds = bounds(kind);
                Self { bounds, world: World::new(&bounds) }
            })
            .boxed()
    }

    /// Prefers steps that make progress, so that walks get far before the caller has its answer.
    fn transitions(state: &Self) -> BoxedStrategy<(usize, String)> {
        let steps = next(&state.bounds, &state.world);
        let named = steps.iter().enumerate().map(|(number, (step, _))| (number, step));
        let (on, off): (Vec<_>, Vec<_>) = named.partition(|(_, step)| makes_progress(step));
        let choose = |steps: Vec<(usize, &Step)>| {
            let named = steps.into_iter().map(|(number, step)| (number, step.to_string()));
            proptest::sample::select(named.collect::<Vec<_>>()).boxed()
        };
        match (on.is_empty(), off.is_empty()) {
            (true, true) => Just((0, "nothing more can happen".to_owned())).boxed(),
            (false, true) => choose(on),
            (true, false) => choose(off),
            (false, false) => prop_oneof![8 => choose(on), 1 => choose(off)].boxed(),
        }
    }

    fn apply(mut state: Self, (number, _): &(usize, String)) -> Self {
        if let Some((_, world)) = next(&state.bounds, &state.world).into_iter().nth(*number) {
            state.world = world;
        }
        state
    }

    fn preconditions(state: &Self, (number, name): &(usize, String)) -> bool {
        let steps = next(&state.bounds, &state.world);
        steps.is_empty() || steps.get(*number).is_some_and(|(step, _)| step.to_string() == *name)
    }
}

impl StateMachineTest for Walk {
    type SystemUnderTest = ();
    type Reference = Self;

    fn init_test(_: &Self) {}

    fn apply((): (), state: &Self, _: (usize, String)) {
        let broken = state.world.check(&state.bounds);
        assert!(broken.is_none(), "breaks {broken:?}");
    }
}

fn makes_progress(step: &Step) -> bool {
    let ends = [Step::Shed, Step::RefuseWrite, Step::FailRead, Step::Deadline, Step::CallerGone];
    let kind = |step: &Step| mem::discriminant(step);
    let gone = [Step::Die, Step::FailAttach, Step::FailResume].map(|step| kind(&step(0)));
    let grows = kind(step) == kind(&Step::Grow);
    !grows && !gone.contains(&kind(step)) && !ends.map(|step| kind(&step(0))).contains(&kind(step))
}

/// Guards against walks that cannot fail: without the nonce, one of them finds a second dispatch.
#[test]
fn find_what_is_missing() {
    let guards = Guards { nonce: false, ..Guards::ALL };
    let mut runner = TestRunner::new_with_rng(
        ProptestConfig { cases: 2000, failure_persistence: None, ..Default::default() },
        TestRng::deterministic_rng(RngAlgorithm::ChaCha),
    );
    let walks = Walk::sequential_strategy(1..150);
    let broken = runner.run(&walks, |(mut walk, steps, _)| {
        walk.bounds.guards = guards;
        for step in &steps {
            walk = <Walk as ReferenceStateMachine>::apply(walk, step);
            prop_assert!(walk.world.check(&walk.bounds).is_none());
        }
        Ok(())
    });
    assert!(broken.is_err());
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..Default::default() })]

    #[test]
    fn hold_over_long_walks(sequential 1..150 => Walk);
}
