//! Model of keys at a daemon that does not read the store itself but asks a daemon that does.
//!
//! A reader asks the store as in [`super::keys`]. A follower asks the reader and adopts the reader's
//! knowledge together with the age that the reply states. Either host may be suspended, either process
//! may restart, and messages may be delayed for any time: a question may wait in the socket of a
//! suspended reader, a reply in that of a suspended follower. Time is counted in steps.

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
    /// Whether the age of a reply counts from the follower's question, not from the reply's arrival.
    pub asked: bool,
    /// Whether a reply states the age of the reader's knowledge.
    pub aged: bool,
    /// Whether the daemons' clocks advance while their hosts are suspended.
    pub counted: bool,
}

/// A step of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Time passes.
    Pass,
    /// Time passes while the reader's host is suspended.
    SuspendReader,
    /// Time passes while the follower's host is suspended.
    SuspendFollower,
    /// The key is revoked, and the store has acknowledged the revocation.
    Revoke,
    /// The store confirms the configuration to the reader.
    Confirm,
    /// The follower asks the reader.
    Ask,
    /// The reader replies.
    Reply,
    /// The reply arrives.
    Arrive,
    /// The reader's process restarts.
    RestartReader,
    /// The follower's process restarts.
    RestartFollower,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Pass => "time passes",
            Self::SuspendReader => "time passes while the reader's host is suspended",
            Self::SuspendFollower => "time passes while the follower's host is suspended",
            Self::Revoke => "the key is revoked",
            Self::Confirm => "the store confirms the configuration to the reader",
            Self::Ask => "the follower asks",
            Self::Reply => "the reader replies",
            Self::Arrive => "the reply arrives",
            Self::RestartReader => "the reader restarts",
            Self::RestartFollower => "the follower restarts",
        })
    }
}

/// A question of the follower, or the reply to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Message {
    Question { asked: u64 },
    Reply { asked: u64, age: u64, known: bool },
}

/// The complete state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    now: u64,
    revoked: Option<u64>,
    reader: Belief,
    follower: Belief,
    message: Option<Message>,
}

/// Explores every state within the bounds.
pub fn explore(bounds: &Bounds) -> explore::Report {
    let check = |world: &World| bounds.times.check(world.now, world.revoked, &world.follower);
    explore::explore(&initial(), |world| next(bounds, world), check)
}

/// Returns the shortest sequence of steps to a follower that serves the key.
pub fn reach_served(bounds: &Bounds) -> Option<Vec<String>> {
    let is_served = |world: &World| world.follower.serves(&bounds.times);
    explore::reach(&initial(), |world| next(bounds, world), is_served)
}

fn initial() -> World {
    let none = Belief::default();
    World { now: 0, revoked: None, reader: none, follower: none, message: None }
}

fn next(bounds: &Bounds, world: &World) -> Vec<(Step, World)> {
    let mut successors = time_steps(bounds, world);
    let mut add = |step, change: &dyn Fn(&mut World)| {
        let mut world = world.clone();
        change(&mut world);
        successors.push((step, world));
    };
    if world.revoked.is_none() {
        add(Step::Revoke, &|world| world.revoked = Some(world.now));
    }
    add(Step::Confirm, &|world| {
        world.reader.known = !bounds.times.heard(world.now, world.revoked);
        world.reader.confirmed = Some(world.reader.clock);
    });
    match world.message {
        None => add(Step::Ask, &|world| {
            world.message = Some(Message::Question { asked: world.follower.clock });
        }),
        Some(Message::Question { asked }) => {
            // A reader without a confirmed configuration does not reply; the question is lost.
            add(Step::Reply, &|world| {
                let age = world.reader.confirmed.map(|confirmed| world.reader.clock - confirmed);
                let known = world.reader.known;
                let age = age.map(|age| if bounds.aged { age } else { 0 });
                world.message = age.map(|age| Message::Reply { asked, age, known });
            });
        }
        Some(Message::Reply { asked, age, known }) => add(Step::Arrive, &|world| {
            world.message = None;
            let from = if bounds.asked { asked } else { world.follower.clock };
            // The confirmation time would lie before the follower's clock began, so the reply is ignored.
            let Some(confirmed) = from.checked_sub(age) else { return };
            world.follower.known = known;
            world.follower.confirmed = world.follower.confirmed.max(Some(confirmed));
        }),
    }
    add(Step::RestartReader, &|world| {
        world.reader = Belief { clock: world.reader.clock, ..Belief::default() };
    });
    add(Step::RestartFollower, &|world| {
        world.follower = Belief { clock: world.follower.clock, ..Belief::default() };
        world.message = None;
    });
    successors
}

/// Returns the steps in which time passes, with or without a suspended host.
fn time_steps(bounds: &Bounds, world: &World) -> Vec<(Step, World)> {
    if world.now >= bounds.times.steps {
        return vec![];
    }
    let suspended = u64::from(bounds.counted);
    let pass = |step, reader: u64, follower: u64| {
        let mut world = world.clone();
        world.now += 1;
        world.reader.clock += reader;
        world.follower.clock += follower;
        (step, world)
    };
    vec![
        pass(Step::Pass, 1, 1),
        pass(Step::SuspendReader, suspended, 1),
        pass(Step::SuspendFollower, 1, suspended),
    ]
}
