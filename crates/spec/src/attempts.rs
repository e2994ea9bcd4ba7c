//! Model of attempts: an opaque request is sent to endpoints, and each send may end in any way.
//!
//! One gateway holds one request. Each send may or may not reach its endpoint; a request that reached
//! it may run at once, later or never; and the gateway may observe any failure consistent with that.
//! The gateway's own function decides whether to retry.

use std::fmt;

use trefoildyke_decide::gateway::{Attempt, Failure, RetryAction, RetryPolicy};

use crate::{explore, invariant::Invariant};

/// The size of the model and which guards are enabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The most times that the request is sent.
    pub sends: u32,
    /// The most endpoints at which the request may run.
    pub runs: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether a send counts as unsent only if no byte of it was written.
    pub unwritten: bool,
    /// Whether a rejection is compared with the request that it answers.
    pub identified: bool,
}

/// What happened to the request at one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Truth {
    /// The request never arrived, or was rejected.
    Never,
    /// The request has arrived and may still run.
    Pending,
    /// The request has run.
    Ran,
}

/// A step of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A send fails: what happened at the endpoint, and the failure that the gateway observes.
    Fail(Truth, Failure),
    /// A request that was pending runs.
    Run,
    /// The retry budget is empty from now on.
    Spend,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fail(truth, failure) => {
                write!(f, "a send fails as {failure:?}, at the endpoint: {truth:?}")
            }
            Self::Run => f.write_str("a pending request runs"),
            Self::Spend => f.write_str("the retry budget is spent"),
        }
    }
}

/// The complete state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    attempt: Attempt,
    sends: Vec<Truth>,
    has_budget: bool,
    /// The final result that the caller was told, if any.
    told: Option<RetryAction>,
}

/// Explores every state within the bounds.
pub fn explore(bounds: &Bounds) -> explore::Report {
    explore::explore(&initial(bounds), |world| next(bounds, world), |world| check(bounds, world))
}

/// Returns the shortest sequence of steps to a state in which the caller was told `told`.
pub fn reach(bounds: &Bounds, told: RetryAction) -> Option<Vec<String>> {
    let is_told = |world: &World| world.told == Some(told);
    explore::reach(&initial(bounds), |world| next(bounds, world), is_told)
}

fn initial(bounds: &Bounds) -> World {
    let policy = if bounds.idempotent { RetryPolicy::Idempotent } else { RetryPolicy::Never };
    let attempt = Attempt::new(policy, bounds.runs);
    World { attempt, sends: vec![], has_budget: true, told: None }
}

fn check(bounds: &Bounds, world: &World) -> Option<Invariant> {
    let runs = world.sends.iter().filter(|truth| **truth != Truth::Never).count();
    if !bounds.idempotent && runs > 1 {
        return Some(Invariant::NonIdempotentRunsOnce);
    }
    (world.told == Some(RetryAction::NotRun) && runs > 0).then_some(Invariant::TruthfulRefusal)
}

fn next(bounds: &Bounds, world: &World) -> Vec<(Step, World)> {
    let mut successors = vec![];
    if world.has_budget {
        let mut spent = world.clone();
        spent.has_budget = false;
        successors.push((Step::Spend, spent));
    }
    if let Some(place) = world.sends.iter().position(|truth| *truth == Truth::Pending) {
        let mut ran = world.clone();
        ran.sends[place] = Truth::Ran;
        successors.push((Step::Run, ran));
    }
    if world.told.is_some() || world.sends.len() as u32 >= bounds.sends {
        return successors;
    }
    for truth in [Truth::Never, Truth::Pending, Truth::Ran] {
        for failure in possible_failures(bounds, truth) {
            successors.push((Step::Fail(truth, failure), fail(world, truth, failure)));
        }
    }
    successors
}

/// Returns the failures that the gateway may observe for a send with this outcome.
fn possible_failures(bounds: &Bounds, truth: Truth) -> Vec<Failure> {
    let mut failures = vec![Failure::Lost, Failure::Cut];
    if truth == Truth::Never || !bounds.unwritten {
        failures.push(Failure::NotSent);
    }
    if truth == Truth::Never || !bounds.identified {
        failures.push(Failure::Rejected);
    }
    if truth == Truth::Ran {
        failures.push(Failure::Failed);
    }
    failures
}

fn fail(world: &World, truth: Truth, failure: Failure) -> World {
    let mut world = world.clone();
    world.sends.push(truth);
    world.attempt.sent();
    let has_budget = world.has_budget;
    let next = world.attempt.failed(failure, || has_budget);
    world.told = (next != RetryAction::Again).then_some(next);
    world
}
