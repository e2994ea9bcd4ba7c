//! The transition relation: the steps that are possible in a state.

use trefoildyke_decide::coordinate::{self, Input, ReadOutcome, WriteOutcome};
use trefoildyke_types::{id, request};

use crate::requests::{
    Age, Bounds, Operation, Step, World,
    effects::{self, feed},
};

const ENDPOINTS: [&str; 2] = ["e1", "e2"];

/// Collects the steps that are possible in one state, each with its successor state.
struct Steps<'a> {
    bounds: &'a Bounds,
    world: &'a World,
    successors: Vec<(Step, World)>,
}

/// Returns every step that is possible in a state, with its successor state.
pub fn next(bounds: &Bounds, world: &World) -> Vec<(Step, World)> {
    let mut steps = Steps { bounds, world, successors: vec![] };
    steps.caller();
    steps.environment();
    for daemon in 0..world.daemons.len() {
        if world.daemons[daemon].alive {
            steps.daemon(daemon);
        }
    }
    steps.successors
}

impl Steps<'_> {
    fn add(&mut self, step: Step, change: impl FnOnce(&Bounds, &mut World)) {
        let mut world = self.world.clone();
        change(self.bounds, &mut world);
        self.successors.push((step, world));
    }

    /// Ends an operation and passes its outcome to the daemon's request.
    fn settle(&mut self, step: Step, at: (usize, usize), input: Input, late: bool) {
        let (daemon, number) = at;
        self.add(step, |bounds, world| {
            world.daemon(daemon).operations.remove(number);
            feed(bounds, world, daemon, input, late);
        });
    }

    /// Replaces an operation by the one that follows it.
    fn replace(&mut self, step: Step, at: (usize, usize), operation: Operation) {
        let (daemon, number) = at;
        self.add(step, |_, world| world.daemon(daemon).operations[number] = operation);
    }

    fn caller(&mut self) {
        let caller = &self.world.caller;
        if caller.told.is_some() {
            return;
        }
        if caller.at.is_some() {
            self.add(Step::Leave, |_, world| world.caller.at = None);
            return;
        }
        if caller.attempts == self.bounds.attempts {
            return;
        }
        let attempt = caller.attempts + 1;
        // The daemons are symmetric, so it is enough to send the first attempt to the first daemon.
        let reachable = if attempt == 1 { 1 } else { self.world.daemons.len() };
        for daemon in (0..reachable).filter(|daemon| self.world.daemons[*daemon].alive) {
            for up in [true, false] {
                let step = Step::Send { daemon, attempt, up };
                self.add(step, |bounds, world| effects::arrive(bounds, world, daemon, up));
            }
        }
    }

    fn environment(&mut self) {
        for number in 0..self.world.late_writes.len() {
            self.add(Step::LateWrite(number), |_, world| {
                let record = world.late_writes.remove(number);
                world.record.get_or_insert(record);
            });
        }
        if !self.world.late_sends.is_empty() {
            self.add(Step::LateStart, |_, world| {
                let endpoint = world.late_sends.remove(0);
                world.started.push(endpoint);
            });
        }
        if self.bounds.ageing && self.world.age != Age::Deleted {
            self.add(Step::Grow, |_, world| advance_age(world));
        }
    }

    fn daemon(&mut self, daemon: usize) {
        let dead = self.world.daemons.iter().filter(|daemon| !daemon.alive).count();
        let Some(request) = &self.world.daemons[daemon].request else {
            return;
        };
        if dead < self.bounds.deaths {
            self.add(Step::Die(daemon), |_, world| die(world, daemon));
        }
        if request.is_final() {
            return;
        }
        self.add(Step::Deadline(daemon), |bounds, world| {
            feed(bounds, world, daemon, Input::DeadlinePassed, false);
        });
        if self.world.caller.at != Some(daemon) {
            self.add(Step::CallerGone(daemon), |bounds, world| {
                feed(bounds, world, daemon, Input::CallerGone, false);
            });
        }
        self.spare_permit(daemon, request);
        for (number, operation) in self.world.daemons[daemon].operations.iter().enumerate() {
            self.operation((daemon, number), request, operation);
        }
    }

    fn spare_permit(&mut self, daemon: usize, request: &coordinate::RequestState) {
        if self.world.spare_permits == 0 {
            return;
        }
        let permit = effects::permit(request, ENDPOINTS[1]);
        self.add(Step::SparePermit(daemon, ENDPOINTS[1]), |bounds, world| {
            world.spare_permits -= 1;
            feed(bounds, world, daemon, Input::Permit(permit), false);
        });
    }

    fn operation(
        &mut self,
        at: (usize, usize),
        request: &coordinate::RequestState,
        operation: &Operation,
    ) {
        let daemon = at.0;
        match operation {
            Operation::Ask => self.ask(at, request),
            Operation::Write(record) => self.write(at, record),
            Operation::Written(outcome) => self.written(at, outcome),
            Operation::Read => {
                let outcome =
                    self.world.record.clone().map_or(ReadOutcome::Absent, ReadOutcome::Found);
                self.replace(Step::Read(daemon), at, Operation::Reading(outcome));
                let input = Input::LookedUp(ReadOutcome::Unavailable);
                self.settle(Step::FailRead(daemon), at, input, false);
            }
            Operation::Reading(outcome) => {
                for late in [false, true] {
                    let input = Input::LookedUp(outcome.clone());
                    self.settle(Step::Reading(daemon, late), at, input, late);
                }
            }
            Operation::Send(endpoint) => self.send(at, endpoint),
            Operation::Stream => {
                self.settle(Step::Answer(daemon), at, effects::last_chunk(request), false);
                self.settle(Step::LoseStream(daemon), at, Input::StreamLost, false);
            }
            Operation::Resume(endpoint) => {
                if self.world.started.contains(endpoint) {
                    self.settle(Step::Resume(daemon), at, effects::last_chunk(request), false);
                }
                self.settle(Step::FailResume(daemon), at, Input::ResumeFailed, false);
            }
            Operation::Attach(coordinator) => self.attach(at, request, *coordinator),
        }
    }

    fn ask(&mut self, at: (usize, usize), request: &coordinate::RequestState) {
        let endpoint = ENDPOINTS[0];
        let permit = Input::Permit(effects::permit(request, endpoint));
        self.settle(Step::Permit(at.0, endpoint), at, permit, false);
        let shed = request::Refusal::new(request::RefusalKind::NotRun, "shed", "come back later");
        self.settle(Step::Shed(at.0), at, Input::Shed(shed), false);
    }

    fn write(&mut self, at: (usize, usize), record: &request::Record) {
        let (daemon, number) = at;
        let outcome = match &self.world.record {
            Some(existing) => WriteOutcome::Exists(existing.clone()),
            None => WriteOutcome::Created,
        };
        self.add(Step::Apply(daemon), |_, world| {
            world.record.get_or_insert_with(|| record.clone());
            world.daemon(daemon).operations[number] = Operation::Written(outcome);
        });
        let refused = Input::Recorded(WriteOutcome::Unavailable);
        self.settle(Step::RefuseWrite(daemon), at, refused, false);
        self.add(Step::LoseWrite(daemon), |bounds, world| {
            world.daemon(daemon).operations.remove(number);
            effects::write_late(world, record.clone());
            feed(bounds, world, daemon, Input::Recorded(WriteOutcome::Unsure), false);
        });
    }

    fn written(&mut self, at: (usize, usize), outcome: &WriteOutcome) {
        for late in [false, true] {
            let input = Input::Recorded(outcome.clone());
            self.settle(Step::Written(at.0, late), at, input, late);
        }
        let unsure = Input::Recorded(WriteOutcome::Unsure);
        self.settle(Step::LoseWritten(at.0), at, unsure, false);
    }

    fn send(&mut self, at: (usize, usize), endpoint: &id::EndpointName) {
        let (daemon, number) = at;
        self.add(Step::Start(daemon), |_, world| {
            world.started.push(endpoint.clone());
            world.daemon(daemon).operations[number] = Operation::Stream;
        });
        self.add(Step::LoseStream(daemon), |bounds, world| {
            world.daemon(daemon).operations.remove(number);
            effects::send_late(world, endpoint.clone());
            feed(bounds, world, daemon, Input::StreamLost, false);
        });
        if self.world.connects > 0 {
            self.add(Step::FailConnect(daemon), |bounds, world| {
                world.connects -= 1;
                world.daemon(daemon).operations.remove(number);
                feed(bounds, world, daemon, Input::ConnectFailed, false);
            });
        }
    }

    fn attach(
        &mut self,
        at: (usize, usize),
        request: &coordinate::RequestState,
        coordinator: id::Incarnation,
    ) {
        let daemon = at.0;
        self.settle(Step::FailAttach(daemon), at, Input::AttachFailed, false);
        let followed = usize::try_from(coordinator.as_u64() - 1).unwrap_or(usize::MAX);
        let Some(followed) = self.world.daemons.get(followed).filter(|daemon| daemon.alive) else {
            return;
        };
        let input = match followed.request.as_ref().map(coordinate::RequestState::phase) {
            Some(coordinate::Phase::Answered) => effects::last_chunk(request),
            Some(coordinate::Phase::Refused(kind)) => {
                Input::Refused(coordinate::Reason::Deadline.refuse(*kind))
            }
            _ => return,
        };
        self.settle(Step::Follow(daemon), at, input, false);
    }
}

fn advance_age(world: &mut World) {
    world.age = match world.age {
        Age::Fresh => Age::Skewed,
        Age::Skewed => Age::Old,
        Age::Old | Age::Deleted => Age::Deleted,
    };
    if world.age == Age::Deleted {
        world.record = None;
    }
}

fn die(world: &mut World, daemon: usize) {
    effects::abandon(world, daemon);
    world.daemon(daemon).alive = false;
    world.daemon(daemon).request = None;
    if world.caller.at == Some(daemon) {
        world.caller.at = None;
    }
}
