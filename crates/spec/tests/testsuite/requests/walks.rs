//! Long random walks, beyond the bounds of the exhaustive search.

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use trefoildyke_spec::requests::{Bounds, Kind, World, next};

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

/// A walk: the bounds and the state that it has come to.
#[derive(Clone, Debug)]
struct Walk {
    bounds: Bounds,
    world: World,
}

impl ReferenceStateMachine for Walk {
    type State = Self;
    /// Which of the possible steps is taken, and what it is called.
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

    fn transitions(state: &Self) -> BoxedStrategy<(usize, String)> {
        let steps = next(&state.bounds, &state.world);
        let names: Vec<_> = steps
            .iter()
            .enumerate()
            .map(|(number, (step, _))| (number, step.to_string()))
            .collect();
        if names.is_empty() {
            return Just((0, "nothing more can happen".to_owned())).boxed();
        }
        proptest::sample::select(names).boxed()
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

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..Default::default() })]

    #[test]
    fn hold_over_long_walks(sequential 1..150 => Walk);
}
