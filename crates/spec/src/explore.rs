//! Exhaustive breadth-first search of a model's states.

use std::{cell, fmt, hash};

use crate::invariant;

/// The result of a search.
#[derive(Clone, Debug)]
pub struct Report {
    /// The number of distinct states that were visited.
    pub states: usize,
    /// The shortest path to a state that violates an invariant, if there is one.
    pub broken: Option<Counterexample>,
}

/// The shortest path to a state that violates an invariant.
#[derive(Clone, Debug)]
pub struct Counterexample {
    /// The invariant that the last state violates.
    pub invariant: invariant::Invariant,
    /// The steps of the path, in order.
    pub steps: Vec<String>,
}

impl fmt::Display for Counterexample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, step) in self.steps.iter().enumerate() {
            writeln!(f, "{:>2}. {step}", number + 1)?;
        }
        write!(f, "=> breaks {}", self.invariant)
    }
}

/// Visits every state reachable from `first` until one violates an invariant.
///
/// `next` returns every step that is possible in a state, with its successor state; `check` returns
/// the invariant that a state violates.
pub fn explore<S, L>(
    first: &S,
    next: impl Fn(&S) -> Vec<(L, S)>,
    check: impl Fn(&S) -> Option<invariant::Invariant>,
) -> Report
where
    S: Clone + Eq + hash::Hash,
    L: fmt::Display,
{
    let states = cell::Cell::new(0);
    let path = search(first, &next, |state| check(state).is_some(), &states);
    let broken = path.and_then(|path| {
        let invariant = path.last().and_then(&check)?;
        Some(Counterexample { invariant, steps: name_steps(&path, &next) })
    });
    Report { states: states.get(), broken }
}

/// Returns the shortest sequence of steps to a state that satisfies `goal`, or `None` if no such state
/// is reachable.
///
/// Tests use it to show that a model reaches the states it is meant to cover, so that its invariants
/// do not hold merely because nothing happens.
pub fn reach<S, L>(
    first: &S,
    next: impl Fn(&S) -> Vec<(L, S)>,
    goal: impl Fn(&S) -> bool,
) -> Option<Vec<String>>
where
    S: Clone + Eq + hash::Hash,
    L: fmt::Display,
{
    let path = search(first, &next, goal, &cell::Cell::new(0))?;
    Some(name_steps(&path, &next))
}

fn search<S, L>(
    first: &S,
    next: impl Fn(&S) -> Vec<(L, S)>,
    goal: impl Fn(&S) -> bool,
    states: &cell::Cell<usize>,
) -> Option<Vec<S>>
where
    S: Clone + Eq + hash::Hash,
{
    let successors = |state: &S| {
        states.set(states.get() + 1);
        next(state).into_iter().map(|(_, state)| state)
    };
    pathfinding::directed::bfs::bfs(first, successors, goal)
}

fn name_steps<S: Eq, L: fmt::Display>(path: &[S], next: impl Fn(&S) -> Vec<(L, S)>) -> Vec<String> {
    let name = |pair: &[S]| {
        let [from, to] = pair else { return None };
        next(from).into_iter().find(|(_, state)| state == to).map(|(step, _)| step.to_string())
    };
    path.windows(2).filter_map(name).collect()
}
