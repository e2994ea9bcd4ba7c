//! Keys: one that is taken away while a gateway is cut off, suspended, restarted or misled.
//!
//! One gateway asks one store whether its configuration still holds. Answers may take any time, the
//! host may be suspended, the process may restart, and the store's watches may be silent for a
//! moment before their history is dropped. What one gateway tells another is in
//! [`super::passed_keys`]. Time goes in steps of which the users' bound is `bound`.

use std::{fmt, time};

use trefoildyke_decide::gateway::Freshness;
use trefoildyke_types::time::Timestamp;

use crate::{explore, invariant::Invariant};

/// States the size of the model and the guards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// For how many steps the model runs.
    pub steps: u64,
    /// After how many steps a key that was taken away must not work.
    pub bound: u64,
    /// After how many steps belief ends.
    pub horizon: u64,
    /// For how many steps the store's watches may miss a change.
    pub deaf: u64,
    /// Whether an answer confirms as of its question, and not as of its arrival.
    pub asked: bool,
    /// Whether the gateway's clock goes on while the host is suspended.
    pub counted: bool,
    /// Whether a restarted gateway believes nothing.
    pub forgets: bool,
}

/// Names one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Time passes.
    Pass,
    /// Time passes while the host is suspended.
    Suspend,
    /// The key is taken away; the store has acknowledged it.
    Revoke,
    /// The gateway asks, and the store looks at the key at once.
    Ask,
    /// The answer arrives.
    Answer,
    /// The process restarts.
    Restart,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Pass => "time passes",
            Self::Suspend => "time passes while the host is suspended",
            Self::Revoke => "the key is taken away",
            Self::Ask => "the gateway asks and the store answers",
            Self::Answer => "the answer arrives",
            Self::Restart => "the process restarts",
        })
    }
}

/// Holds an answer that is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OnWay {
    /// When it was asked, by the gateway's clock.
    asked: u64,
    /// Whether the key is there.
    valid: bool,
}

/// Holds the state of everything.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    now: u64,
    /// The gateway's clock.
    clock: u64,
    revoked: Option<u64>,
    answer: Option<OnWay>,
    /// When the configuration was confirmed last, by the gateway's clock.
    confirmed: Option<u64>,
    /// Whether the gateway knows the key.
    known: bool,
}

/// Explores every state within the bounds.
pub fn explore(bounds: &Bounds) -> explore::Report {
    let check = |world: &World| check(bounds, world);
    explore::explore(&first(), |world| next(bounds, world), check)
}

/// Returns the shortest steps to a gateway that refuses the key in time after it was taken away.
pub fn reach_refused(bounds: &Bounds) -> Option<Vec<String>> {
    let is_refused =
        |world: &World| world.revoked.is_some() && world.known && !serves(bounds, world);
    explore::reach(&first(), |world| next(bounds, world), is_refused)
}

const fn first() -> World {
    World { now: 0, clock: 0, revoked: None, answer: None, confirmed: None, known: false }
}

/// Says whether a request with the key would be served, by the gateway's own function.
fn serves(bounds: &Bounds, world: &World) -> bool {
    let mut freshness = Freshness::new(time::Duration::from_secs(bounds.horizon));
    if let Some(confirmed) = world.confirmed {
        freshness.confirm(at(confirmed));
    }
    world.known && freshness.is_fresh(at(world.clock))
}

fn check(bounds: &Bounds, world: &World) -> Option<Invariant> {
    let is_late = world.revoked.is_some_and(|revoked| world.now > revoked + bounds.bound);
    (is_late && serves(bounds, world)).then_some(Invariant::KeysFailClosed)
}

const fn at(step: u64) -> Timestamp {
    Timestamp::from_millis(step * 1_000)
}

fn next(bounds: &Bounds, world: &World) -> Vec<(Step, World)> {
    let mut found = vec![];
    let mut add = |step, change: &dyn Fn(&mut World)| {
        let mut world = world.clone();
        change(&mut world);
        found.push((step, world));
    };
    if world.now < bounds.steps {
        add(Step::Pass, &|world| {
            world.now += 1;
            world.clock += 1;
        });
        add(Step::Suspend, &|world| {
            world.now += 1;
            world.clock += u64::from(bounds.counted);
        });
    }
    if world.revoked.is_none() {
        add(Step::Revoke, &|world| world.revoked = Some(world.now));
    }
    match world.answer {
        None => {
            let heard = |revoked: u64| world.now >= revoked + bounds.deaf;
            let valid = !world.revoked.is_some_and(heard);
            let answer = OnWay { asked: world.clock, valid };
            add(Step::Ask, &|world| world.answer = Some(answer));
        }
        Some(answer) => add(Step::Answer, &|world| {
            world.answer = None;
            world.known = answer.valid;
            world.confirmed = Some(if bounds.asked { answer.asked } else { world.clock });
        }),
    }
    add(Step::Restart, &|world| {
        world.answer = None;
        if bounds.forgets {
            world.known = false;
            world.confirmed = None;
        } else {
            // A belief that was kept without its age.
            world.confirmed = world.confirmed.map(|_| world.clock);
        }
    });
    found
}
