//! Keys: one that is taken away while a gateway is cut off, suspended, restarted or misled.
//!
//! One gateway asks one store whether its configuration still holds. Answers may take any time, the
//! host may be suspended, the process may restart, and the store's watches may be silent for a
//! moment before their history is dropped. What one gateway tells another is in
//! [`super::passed_keys`]. Time goes in steps of which the users' bound is `bound`.

use std::fmt;

use crate::{
    belief::{Belief, Times},
    explore,
};

/// States the times of the model and the guards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The times.
    pub times: Times,
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
    revoked: Option<u64>,
    answer: Option<OnWay>,
    gateway: Belief,
}

/// Explores every state within the bounds.
pub fn explore(bounds: &Bounds) -> explore::Report {
    let check = |world: &World| bounds.times.check(world.now, world.revoked, &world.gateway);
    explore::explore(&first(), |world| next(bounds, world), check)
}

/// Returns the shortest steps to a gateway that refuses the key in time after it was taken away.
pub fn reach_refused(bounds: &Bounds) -> Option<Vec<String>> {
    let is_refused = |world: &World| {
        world.revoked.is_some() && world.gateway.known && !world.gateway.serves(&bounds.times)
    };
    explore::reach(&first(), |world| next(bounds, world), is_refused)
}

fn first() -> World {
    World { now: 0, revoked: None, answer: None, gateway: Belief::default() }
}

fn next(bounds: &Bounds, world: &World) -> Vec<(Step, World)> {
    let mut found = vec![];
    let mut add = |step, change: &dyn Fn(&mut World)| {
        let mut world = world.clone();
        change(&mut world);
        found.push((step, world));
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
            let answer = OnWay { asked: world.gateway.clock, valid };
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
            // A belief that was kept without its age.
            world.gateway.confirmed = world.gateway.confirmed.map(|_| world.gateway.clock);
        }
    });
    found
}
