//! The transition relation: the steps that are possible in a state.

use trefoildyke_decide::config::storage;

use crate::configuration::{
    Attempt, Bounds, Guards, Held, Phase, Step, Stored, Verdict, World, attempt,
};

/// Collects the steps that are possible in one state, each with its successor state.
struct Steps<'a> {
    world: &'a World,
    successors: Vec<(Step, World)>,
}

/// Returns every step that is possible in a state, with its successor state.
pub fn next(bounds: &Bounds, world: &World) -> Vec<(Step, World)> {
    let mut steps = Steps { world, successors: vec![] };
    let guards = bounds.guards;
    for operator in 0..bounds.operators {
        match &world.attempts[operator] {
            None => steps.send(operator),
            Some(attempt) => steps.attempt(guards, operator, attempt),
        }
    }
    for daemon in 0..bounds.daemons {
        steps.daemon(guards, daemon);
    }
    steps.service(guards);
    steps.successors
}

impl Steps<'_> {
    fn add(&mut self, step: Step, change: impl FnOnce(&mut World)) {
        let mut world = self.world.clone();
        change(&mut world);
        self.successors.push((step, world));
    }

    fn send(&mut self, operator: usize) {
        for (daemon, held) in self.world.daemons.iter().enumerate() {
            let attempt = Attempt::new(daemon, held);
            self.add(Step::Send(operator, daemon), |world| {
                world.attempts[operator] = Some(attempt);
            });
        }
    }

    /// Sets the phase of an operator's change.
    fn set(&mut self, step: Step, operator: usize, phase: Phase) {
        self.add(step, |world| set(world, operator, phase));
    }

    fn attempt(&mut self, guards: Guards, operator: usize, attempt: &Attempt) {
        let world = self.world;
        match &attempt.phase {
            Phase::Start => {
                self.set(Step::Read(operator), operator, Phase::Read(world.stored.clone()));
                let verdict = match attempt.sent {
                    None => Verdict::Refused,
                    Some(_) => Verdict::Unsure,
                };
                self.set(Step::GiveUp(operator), operator, Phase::Told(verdict));
            }
            Phase::Read(read) => {
                let mut next = attempt.clone();
                next.act(guards, operator, read, &world.daemons[attempt.daemon]);
                let adopted = next.accepted().map(|_| read.held.clone());
                self.add(Step::Act(operator), |world| {
                    if let Some(held) = adopted {
                        adopt(guards, world, attempt.daemon, held);
                    }
                    world.attempts[operator] = Some(next);
                });
            }
            Phase::Writing(write) => {
                self.add(Step::Apply(operator), |world| {
                    let applied = apply(guards, world, write.clone());
                    set(world, operator, Phase::Written(write.clone(), applied));
                });
                if world.losses > 0 {
                    self.add(Step::LoseWrite(operator), |world| {
                        world.losses -= 1;
                        world.late.push(write.clone());
                        set(world, operator, Phase::Start);
                    });
                }
            }
            Phase::Written(write, applied) => self.written(guards, operator, write, *applied),
            Phase::Told(_) => {}
        }
    }

    fn written(&mut self, guards: Guards, operator: usize, write: &Stored, applied: bool) {
        // Restoring the root creates no new version; the change itself is written afterwards.
        let own = write.held.changes.last() == Some(&operator);
        self.add(Step::Written(operator), |world| {
            if !applied || !own {
                set(world, operator, Phase::Start);
                return;
            }
            let Some(daemon) = world.attempts[operator].as_ref().map(|one| one.daemon) else {
                return;
            };
            let version = write.held.changes.len();
            adopt(guards, world, daemon, write.held.clone());
            set(world, operator, Phase::Told(Verdict::Accepted(version)));
        });
        if self.world.losses > 0 {
            self.add(Step::LoseWritten(operator), |world| {
                world.losses -= 1;
                set(world, operator, Phase::Start);
            });
        }
    }

    fn daemon(&mut self, guards: Guards, daemon: usize) {
        let world = self.world;
        match &world.fetched[daemon] {
            None => self.add(Step::Fetch(daemon), |world| {
                world.fetched[daemon] = Some(world.stored.clone());
            }),
            Some(read) => self.add(Step::Adopt(daemon), |world| {
                world.fetched[daemon] = None;
                match attempt::write_back(&world.stored, &world.daemons[daemon]) {
                    Some(restored) if read.root.version < restored.root.version => {
                        apply(guards, world, restored);
                    }
                    _ => adopt(guards, world, daemon, read.held.clone()),
                }
            }),
        }
        match &world.told[daemon] {
            None => self.tell(daemon),
            Some(held) => self.add(Step::Learn(daemon), |world| {
                world.told[daemon] = None;
                adopt(guards, world, daemon, held.clone());
            }),
        }
        if world.restarts > 0 && world.daemons[daemon] != Held::default() {
            self.add(Step::Restart(daemon), |world| restart(world, daemon));
        }
    }

    fn tell(&mut self, daemon: usize) {
        for (peer, held) in self.world.daemons.iter().enumerate() {
            if peer != daemon && !held.changes.is_empty() {
                self.add(Step::Tell(peer, daemon), |world| {
                    world.told[daemon] = Some(held.clone());
                });
            }
        }
    }

    fn service(&mut self, guards: Guards) {
        if !self.world.late.is_empty() {
            self.add(Step::LateWrite, |world| {
                let write = world.late.remove(0);
                apply(guards, world, write);
            });
        }
        if self.world.forgets && self.world.stored.revision > 0 {
            self.add(Step::Forget, |world| {
                world.forgets = false;
                world.stored = Stored::default();
            });
        }
    }
}

fn set(world: &mut World, operator: usize, phase: Phase) {
    if let Some(attempt) = &mut world.attempts[operator] {
        attempt.phase = phase;
    }
}

/// Applies a write if the root still has the revision that the write expects; returns whether it did.
fn apply(guards: Guards, world: &mut World, write: Stored) -> bool {
    if guards.compare && write.revision != world.stored.revision {
        return false;
    }
    let revision = world.stored.revision + 1;
    world.stored = Stored { revision, ..write };
    true
}

/// Puts a snapshot in force on a daemon, if the daemon's history accepts it.
fn adopt(guards: Guards, world: &mut World, daemon: usize, held: Held) {
    let before = &world.daemons[daemon];
    let mut history = storage::History::default();
    history.replace(before.snapshot.clone());
    let rose = history.replace(held.snapshot.clone());
    if !rose && guards.rises {
        return;
    }
    world.reverted |= !held.changes.starts_with(&before.changes);
    world.daemons[daemon] = held;
}

/// Restarts a daemon; the outcome of the changes that it was handling becomes unsure.
fn restart(world: &mut World, daemon: usize) {
    world.restarts -= 1;
    world.daemons[daemon] = Held::default();
    world.fetched[daemon] = None;
    world.told[daemon] = None;
    for operator in 0..world.attempts.len() {
        let Some(attempt) = &world.attempts[operator] else { continue };
        if attempt.daemon != daemon || matches!(attempt.phase, Phase::Told(_)) {
            continue;
        }
        if let Phase::Writing(write) = &attempt.phase {
            world.late.push(write.clone());
        }
        set(world, operator, Phase::Told(Verdict::Unsure));
    }
}
