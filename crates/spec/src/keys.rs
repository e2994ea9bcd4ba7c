//! Model of keys: a key is revoked while a gateway is cut off, suspended, restarted or told stale data.
//!
//! One gateway asks one store whether its configuration is still current. Answers may be delayed for
//! any time, the host may be suspended, the process may restart, and the store's watches may stay
//! silent for a limited time before their history is dropped. What one gateway tells another is modelled
//! in [`super::passed_keys`]. Time is counted in steps; a revoked key must stop working within `bound`
//! steps.

use std::fmt;

use crate::{
    belief::{Belief, Times},
    explore,
};

/// The times of the model and which guards are enabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The times.
    pub times: Times,
    /// Whether an answer confirms the configuration as of the time of the question, not of its arrival.
    pub asked: bool,
    /// Whether the gateway's clock advances while the host is suspended.
    pub counted: bool,
    /// Whether a gateway forgets what it knows when it restarts.
    pub forgets: bool,
}

/// A step of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Time passes.
    Pass,
    /// Time passes while the host is suspended.
    Suspend,
    /// The key is revoked, and the store has acknowledged the revocation.
    Revoke,
    /// The gateway asks, and the store looks up the key at once.
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
            Self::Revoke => "the key is revoked",
            Self::Ask => "the gateway asks and the store answers",
            Self::Answer => "the answer arrives",
            Self::Restart => "the process restarts",
        })
    }
}

/// An answer of the store that has not arrived yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingAnswer {
    /// When the gateway asked, by its own clock.
    asked: u64,
    /// Whether the store's watch still knows the key.
    valid: bool,
}

/// The complete state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    now: u64,
    revoked: Option<u64>,
    answer: Option<PendingAnswer>,
    gateway: Belief,
}

/// Explores every state within the bounds.
pub fn explore(bounds: &Bounds) -> explore::Report {
    let check = |world: &World| bounds.times.check(world.now, world.revoked, &world.gateway);
    explore::explore(&initial(), |world| next(bounds, world), check)
}

/// Returns the shortest sequence of steps to a gateway that refuses a revoked key of which it has no
/// news: it still knows the key, but its confirmation has expired.
pub fn reach_refused(bounds: &Bounds) -> Option<Vec<String>> {
    let is_refused = |world: &World| {
        world.revoked.is_some() && world.gateway.known && !world.gateway.serves(&bounds.times)
    };
    explore::reach(&initial(), |world| next(bounds, world), is_refused)
}

fn initial() -> World {
    World { now: 0, revoked: None, answer: None, gateway: Belief::default() }
}

fn next(bounds: &Bounds, world: &World) -> Vec<(Step, World)> {
    let mut successors = vec![];
    let mut add = |step, change: &dyn Fn(&mut World)| {
        let mut world = world.clone();
        change(&mut world);
        successors.push((step, world));
    };
    if world.now < bounds.times.steps {
        add(Step::Pass, &|world| {
            world.now += 1;
            world.gateway.clock += 1;
        });
        add(Step::Suspend, &|world| {
            world.now += 1;
            world.gateway.clock += u64::from(bounds.counted);
        });
    }
    if world.revoked.is_none() {
        add(Step::Revoke, &|world| world.revoked = Some(world.now));
    }
    match world.answer {
        None => {
            let valid = !bounds.times.heard(world.now, world.revoked);
            let answer = PendingAnswer { asked: world.gateway.clock, valid };
            add(Step::Ask, &|world| world.answer = Some(answer));
        }
        Some(answer) => add(Step::Answer, &|world| {
            world.answer = None;
            let clock = world.gateway.clock;
            world.gateway.known = answer.valid;
            world.gateway.confirmed = Some(if bounds.asked { answer.asked } else { clock });
        }),
    }
    add(Step::Restart, &|world| {
        world.answer = None;
        if bounds.forgets {
            world.gateway = Belief { clock: world.gateway.clock, ..Belief::default() };
        } else {
            // The restarted gateway keeps its knowledge and treats it as confirmed just now.
            world.gateway.confirmed = world.gateway.confirmed.map(|_| world.gateway.clock);
        }
    });
    successors
}
