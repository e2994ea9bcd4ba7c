//! Model of attempts: an opaque request is sent to endpoints, and each send may end in any way.
//!
//! One gateway holds one request. Each send may or may not reach its endpoint; a request that reached
//! it may run at once, later or never; and the gateway may observe any failure consistent with that.
//! The gateway's own function decides whether to retry. While a send of an idempotent request is late, the
//! request may be sent to another endpoint as well.

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
    /// The request is sent: what happens at the endpoint.
    Send(Truth),
    /// A send fails in the way that the gateway observes.
    Fail(Failure),
    /// A send fails while another one is in progress, and the gateway waits for that one.
    FailBeside(Failure),
    /// A request that was pending runs.
    Run,
    /// The retry budget is empty from now on.
    Spend,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Send(truth) => write!(f, "the request is sent, at the endpoint: {truth:?}"),
            Self::Fail(failure) => write!(f, "a send fails as {failure:?}"),
            Self::FailBeside(failure) => write!(f, "a send fails as {failure:?} beside another"),
            Self::Run => f.write_str("a pending request runs"),
            Self::Spend => f.write_str("the retry budget is spent"),
        }
    }
}

/// One send of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Send {
    truth: Truth,
    /// Whether the gateway still waits for the answer.
    open: bool,
}

/// The complete state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    attempt: Attempt,
    sends: Vec<Send>,
    /// Whether the gateway has decided to send the request.
    may_send: bool,
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
    World { attempt, sends: vec![], may_send: true, has_budget: true, told: None }
}

fn check(bounds: &Bounds, world: &World) -> Option<Invariant> {
    let runs = world.sends.iter().filter(|send| send.truth != Truth::Never).count();
    if !bounds.idempotent && runs > 1 {
        return Some(Invariant::NonIdempotentRunsOnce);
    }
    if runs as u32 > bounds.runs {
        return Some(Invariant::RunLimit);
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
    if let Some(place) = world.sends.iter().position(|send| send.truth == Truth::Pending) {
        let mut ran = world.clone();
        ran.sends[place].truth = Truth::Ran;
        successors.push((Step::Run, ran));
    }
    if world.told.is_some() {
        return successors;
    }
    if may_send(bounds, world) {
        for truth in [Truth::Never, Truth::Pending, Truth::Ran] {
            successors.push((Step::Send(truth), send(world, truth)));
        }
    }
    let open = |place: &usize| world.sends[*place].open;
    for place in (0..world.sends.len()).filter(open) {
        for failure in possible_failures(bounds, world.sends[place].truth) {
            successors.push((Step::Fail(failure), fail(world, place, failure)));
            if open_sends(world) > 1 {
                let beside = fail_beside(world, place, failure);
                successors.push((Step::FailBeside(failure), beside));
            }
        }
    }
    successors
}

fn open_sends(world: &World) -> usize {
    world.sends.iter().filter(|send| send.open).count()
}

/// Returns whether the request may be sent now: after a failed send, or beside a late one.
fn may_send(bounds: &Bounds, world: &World) -> bool {
    let sends = world.sends.len() as u32;
    let is_late = open_sends(world) == 1 && world.has_budget;
    sends < bounds.sends
        && (world.may_send || (is_late && bounds.idempotent && sends < bounds.runs))
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

fn send(world: &World, truth: Truth) -> World {
    let mut world = world.clone();
    world.sends.push(Send { truth, open: true });
    world.may_send = false;
    world.attempt.sent();
    world
}

fn fail(world: &World, place: usize, failure: Failure) -> World {
    let mut world = world.clone();
    world.sends[place].open = false;
    let has_budget = world.has_budget;
    let next = if open_sends(&world) > 0 {
        world.attempt.failed_beside(failure, || has_budget)
    } else {
        world.attempt.failed(failure, || has_budget)
    };
    world.may_send = next == RetryAction::Again;
    world.told = (!matches!(next, RetryAction::Again | RetryAction::Wait)).then_some(next);
    world
}

fn fail_beside(world: &World, place: usize, failure: Failure) -> World {
    let mut world = world.clone();
    world.sends[place].open = false;
    world.attempt.failed_beside(failure, || false);
    world
}
