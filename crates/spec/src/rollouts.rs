//! Model of rollouts: daemons decide the stage of a service's rollout, and the store loses answers.
//!
//! Any daemon may believe that it is the one that decides. Writes may be applied late or never, answers
//! may be lost, and daemons restart and learn from each other in any order. The daemon's own functions
//! decide the next stage.

use std::fmt;

use trefoildyke_decide::gateway::{
    Access, Comparison, Finding, Rollout, Rollouts, RosterEntry, Stage,
};
use trefoildyke_types::{id, time::Timestamp};

use crate::{explore, invariant::Invariant};

/// The size of the model and which guards are enabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// How many daemons there are.
    pub daemons: usize,
    /// How often the record may change.
    pub changes: u8,
    /// How many daemons may restart.
    pub restarts: u8,
    /// Whether a write is applied only if the record still has the revision that its writer read.
    pub compares: bool,
    /// Whether requests are sent.
    pub sends: bool,
    /// Whether the new version turns bad only while no write of the stage `Complete` is in flight.
    pub calm_end: bool,
    /// Whether completion waits until all daemons have learned that the old version gets no more requests.
    pub waits: bool,
}

/// A step of the model; most carry the index of the daemon that takes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A daemon reads the order to move the service to the new version.
    Order(usize),
    /// A daemon reads the record.
    Read(usize),
    /// A daemon learns the stage that another daemon knows.
    Hear(usize, usize),
    /// A daemon sends the write of the next stage.
    Write(usize),
    /// The store applies a daemon's write in flight.
    Carry(usize),
    /// A daemon gets no answer to its write.
    Lose(usize),
    /// A daemon stops the rollout without waiting for the store.
    Stop(usize),
    /// A daemon sends a request to the old version.
    Send(usize),
    /// The request at the old version ends.
    End,
    /// A daemon restarts and forgets everything but its write in flight.
    Restart(usize),
    /// The new version turns bad.
    TurnBad,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Order(daemon) => write!(f, "{daemon} reads the order"),
            Self::Read(daemon) => write!(f, "{daemon} reads the record"),
            Self::Hear(daemon, from) => write!(f, "{daemon} learns from {from}"),
            Self::Write(daemon) => write!(f, "{daemon} writes the next stage"),
            Self::Carry(daemon) => write!(f, "the write of {daemon} is applied"),
            Self::Lose(daemon) => write!(f, "{daemon} gets no answer"),
            Self::Stop(daemon) => write!(f, "{daemon} stops the rollout"),
            Self::Send(daemon) => write!(f, "{daemon} sends a request to the old version"),
            Self::End => f.write_str("the request ends"),
            Self::Restart(daemon) => write!(f, "{daemon} restarts"),
            Self::TurnBad => f.write_str("the new version turns bad"),
        }
    }
}

/// What one daemon knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Daemon {
    /// The stage of the rollout; `None` before the daemon has read the order.
    stage: Option<Stage>,
    /// The record's revision; `None` before the daemon has read the record.
    revision: Option<u8>,
    /// A write in flight: the stage, and the revision that it expects.
    write: Option<(Stage, u8)>,
}

/// The complete state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    daemons: Vec<Daemon>,
    /// The stage in the store's record; `revision` counts the record's changes.
    record: Option<Stage>,
    revision: u8,
    is_bad: bool,
    /// Whether a request runs at the old version.
    is_running: bool,
    restarts: u8,
    /// Whether a final stage in the record was replaced by a different stage.
    end_changed: bool,
    /// Whether a request ran at the old version when the rollout was recorded as complete.
    has_cut: bool,
}

/// Explores every state within the bounds.
pub fn explore(bounds: &Bounds) -> explore::Report {
    explore::explore(&initial(bounds), |world| next(bounds, world), check)
}

/// Returns the shortest sequence of steps to a record with this stage.
pub fn reach(bounds: &Bounds, stage: Stage) -> Option<Vec<String>> {
    let is_there = |world: &World| world.record == Some(stage);
    explore::reach(&initial(bounds), |world| next(bounds, world), is_there)
}

fn initial(bounds: &Bounds) -> World {
    World {
        daemons: vec![Daemon::default(); bounds.daemons],
        record: None,
        revision: 0,
        is_bad: false,
        is_running: false,
        restarts: 0,
        end_changed: false,
        has_cut: false,
    }
}

const fn check(world: &World) -> Option<Invariant> {
    if world.end_changed {
        return Some(Invariant::OneEnd);
    }
    if world.has_cut { Some(Invariant::CompleteCutsNothing) } else { None }
}

fn service() -> id::PoolName {
    "service".into()
}

fn rollout(stage: Stage) -> Rollout {
    let from = (stage != Stage::Ordered).then(|| "old".into());
    Rollout { service: service(), order: 1, from, to: "new".into(), within_ms: 1, age_ms: 0, stage }
}

/// Returns the daemon's own rollout state for a known stage.
fn known(stage: Option<Stage>) -> Rollouts {
    let mut known = Rollouts::default();
    known.note_listed(&[&RosterEntry {
        endpoint: "endpoint".into(),
        start: 0,
        service: service(),
        version: "old".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "zone".into(),
        slots: 1,
        draining: false,
    }]);
    let rollouts: Vec<_> = stage.map(rollout).into_iter().collect();
    known.learn(Timestamp::ZERO, &rollouts);
    known
}

/// Returns the stage that a daemon knows after it has learned `new`.
fn learned(stage: Option<Stage>, new: Option<Stage>) -> Option<Stage> {
    let mut known = known(stage);
    let new: Vec<_> = new.map(rollout).into_iter().collect();
    known.learn(Timestamp::ZERO, &new);
    known.get(Timestamp::ZERO, &service()).map(|rollout| rollout.stage)
}

/// Returns the next stage for a daemon that decides, or `None` if nothing changes.
fn next_stage(bounds: &Bounds, world: &World, stage: Option<Stage>) -> Option<Stage> {
    let comparison =
        if world.is_bad { Comparison::Bad { evidence: 10.0 } } else { Comparison::Good };
    let has_heard = |daemon: &Daemon| daemon.stage.is_some_and(|stage| stage >= Stage::Moving);
    let is_heard = !bounds.waits || world.daemons.iter().all(has_heard);
    let finding =
        Finding { comparison, old_is_idle: !world.is_running && is_heard, only_new_listed: false };
    let late = Timestamp::from_millis(1_000);
    known(stage).next(late, &service(), finding).map(|next| next.stage)
}

fn next(bounds: &Bounds, world: &World) -> Vec<(Step, World)> {
    let mut successors = vec![];
    for number in 0..world.daemons.len() {
        daemon_steps(bounds, world, number, &mut successors);
    }
    if world.is_running {
        successors.push((Step::End, World { is_running: false, ..world.clone() }));
    }
    let is_ending = |daemon: &Daemon| matches!(daemon.write, Some((Stage::Complete, _)));
    let stays_good = bounds.calm_end && world.daemons.iter().any(is_ending);
    if !(world.is_bad || stays_good) {
        successors.push((Step::TurnBad, World { is_bad: true, ..world.clone() }));
    }
    successors
}

fn daemon_steps(
    bounds: &Bounds,
    world: &World,
    number: usize,
    successors: &mut Vec<(Step, World)>,
) {
    let daemon = world.daemons[number];
    let mut add = |step, change: &dyn Fn(&mut World)| {
        let mut world = world.clone();
        change(&mut world);
        successors.push((step, world));
    };
    if daemon.stage.is_none() {
        add(Step::Order(number), &|world| world.daemons[number].stage = Some(Stage::Ordered));
    }
    for from in (0..world.daemons.len()).filter(|from| *from != number) {
        let stage = learned(daemon.stage, world.daemons[from].stage);
        if stage != daemon.stage {
            add(Step::Hear(number, from), &|world| world.daemons[number].stage = stage);
        }
    }
    if daemon.stage.is_some() && daemon.revision.is_none() {
        let stage = learned(daemon.stage, world.record);
        add(Step::Read(number), &|world| {
            world.daemons[number].stage = stage;
            world.daemons[number].revision = Some(world.revision);
        });
    }
    let next_stage = next_stage(bounds, world, daemon.stage);
    match (next_stage, daemon.revision, daemon.write) {
        (Some(Stage::Stopped), ..) => {
            add(Step::Stop(number), &|world| world.daemons[number].stage = Some(Stage::Stopped));
        }
        (Some(stage), Some(revision), None) if revision < bounds.changes => {
            add(Step::Write(number), &|world| {
                world.daemons[number].write = Some((stage, revision));
            });
        }
        _ => {}
    }
    if let Some(write) = daemon.write {
        add(Step::Carry(number), &|world| apply_write(bounds, world, number, write));
        add(Step::Lose(number), &|world| {
            world.daemons[number].write = None;
            world.daemons[number].revision = None;
        });
    }
    let gate = known(daemon.stage).gate(&service(), 0.1, true);
    let is_open = bounds.sends && !world.is_running && world.record != Some(Stage::Complete);
    if is_open && gate.access(&"old".into()) == Access::Full {
        add(Step::Send(number), &|world| world.is_running = true);
    }
    if world.restarts < bounds.restarts && daemon != Daemon::default() {
        add(Step::Restart(number), &|world| {
            world.daemons[number] = Daemon { write: daemon.write, ..Daemon::default() };
            world.restarts += 1;
        });
    }
}

fn apply_write(bounds: &Bounds, world: &mut World, number: usize, (stage, revision): (Stage, u8)) {
    world.daemons[number].write = None;
    if bounds.compares && world.revision != revision {
        world.daemons[number].revision = None;
        return;
    }
    let is_other = |record: Stage| record.is_final() && record != stage;
    world.end_changed |= world.record.is_some_and(is_other);
    world.has_cut |= stage == Stage::Complete && world.is_running;
    world.record = Some(stage);
    world.revision += 1;
    world.daemons[number].revision = Some(world.revision);
    world.daemons[number].stage = learned(world.daemons[number].stage, Some(stage));
}
