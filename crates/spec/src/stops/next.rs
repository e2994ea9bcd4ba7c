//! The transition relation: the steps that are possible in a state.

use trefoildyke_decide::coordinate::{self, Action, Input, Phase, Waiting, WriteOutcome};
use trefoildyke_types::{id, request, time};

use crate::stops::{
    Bounds, Daemon, Step, World,
    world::{ENDPOINT, STOP},
};

const CREATED_MS: u64 = 1_000_000;
const NOW: coordinate::Now =
    coordinate::Now { monotonic: time::Timestamp::ZERO, unix_ms: CREATED_MS };

/// Collects the steps that are possible in one state, each with its successor state.
struct Steps<'a> {
    bounds: &'a Bounds,
    world: &'a World,
    successors: Vec<(Step, World)>,
}

/// Returns every step that is possible in a state, with its successor state.
pub fn next(bounds: &Bounds, world: &World) -> Vec<(Step, World)> {
    let mut steps = Steps { bounds, world, successors: vec![] };
    if world.stopped {
        return steps.successors;
    }
    steps.operator();
    for (number, daemon) in world.daemons.iter().enumerate() {
        if daemon.alive {
            steps.daemon(number, daemon);
        }
    }
    for (place, daemon) in world.running.iter().enumerate() {
        steps.add(Step::End(*daemon), |world| end(world, place));
    }
    steps.successors
}

impl Steps<'_> {
    fn add(&mut self, step: Step, change: impl FnOnce(&mut World)) {
        let mut world = self.world.clone();
        change(&mut world);
        self.successors.push((step, world));
    }

    fn operator(&mut self) {
        let world = self.world;
        if !world.accepted {
            self.add(Step::Accept, |world| world.accepted = true);
            return;
        }
        // A live daemon that is not cut off has the version in force within the bound.
        let knows = |daemon: &Daemon| !daemon.alive || daemon.cut || daemon.version >= STOP;
        if !world.passed && world.daemons.iter().all(|daemon| knows(daemon)) {
            self.add(Step::Bound, |world| world.passed = true);
        }
        let mut live = world.daemons.iter().filter(|daemon| daemon.alive);
        if live.all(|daemon| daemon.settled >= STOP) {
            self.add(Step::Stopped, |world| world.stopped = true);
        }
    }

    fn daemon(&mut self, number: usize, daemon: &Daemon) {
        let (bounds, world) = (self.bounds, self.world);
        let cuts = world.daemons.iter().filter(|daemon| daemon.cut).count();
        let deaths = world.daemons.iter().filter(|daemon| !daemon.alive).count();
        if world.accepted && !daemon.cut && daemon.version < STOP {
            self.add(Step::Adopt(number), |world| world.daemon(number).version = STOP);
        }
        if !daemon.cut && cuts < bounds.cuts {
            self.add(Step::Cut(number), |world| world.daemon(number).cut = true);
        }
        if deaths < bounds.deaths && number + 1 < world.daemons.len() {
            self.add(Step::Die(number), |world| world.daemon(number).alive = false);
        }
        let settled = world.settled(bounds, number);
        if !daemon.cut && settled != daemon.settled {
            self.add(Step::Report(number), |world| world.daemon(number).settled = settled);
        }
        match daemon.request.as_ref().map(coordinate::RequestState::phase) {
            None => self.arrive(number),
            Some(Phase::Waiting(Waiting::Permit) | Phase::Recorded) => self.permit(number),
            Some(Phase::Waiting(Waiting::Record(_))) => self.written(number),
            Some(_) => {}
        }
    }

    fn arrive(&mut self, number: usize) {
        let isolated = self.world.is_isolated(self.bounds, number);
        let Some(request) = start(number, isolated) else { return };
        self.add(Step::Arrive(number), |world| world.daemon(number).request = Some(request));
    }

    fn permit(&mut self, number: usize) {
        let takes_work = self.world.takes_work(self.bounds, number);
        let check = self.bounds.guards.permit;
        self.add(Step::Permit(number), |world| {
            let Some(request) = &world.daemons[number].request else { return };
            let permit = permit(request);
            let input = match takes_work || !check {
                true => Input::Permit(permit),
                false => Input::UnusablePermit(permit),
            };
            feed(world, number, input);
        });
    }

    fn written(&mut self, number: usize) {
        let takes_work = self.world.takes_work(self.bounds, number);
        let check = self.bounds.guards.dispatch;
        self.add(Step::Written(number), |world| {
            if check && !takes_work {
                feed(world, number, Input::EndpointLeaving);
            }
            feed(world, number, Input::Recorded(WriteOutcome::Created));
        });
    }
}

fn feed(world: &mut World, number: usize, input: Input) {
    let Some(request) = &mut world.daemon(number).request else { return };
    for action in request.step(NOW, input) {
        if matches!(action, Action::Dispatch(_)) {
            world.late |= world.passed;
            world.running.push(number);
        }
    }
}

/// Ends a request at the endpoint and delivers the complete answer to its daemon.
fn end(world: &mut World, place: usize) {
    let number = world.running.remove(place);
    let Some(request) = &world.daemons[number].request else { return };
    let chunk = request::Chunk {
        id: request.key().id,
        offset: 0,
        tokens: vec![],
        finish: Some(request::Finish::Whole),
    };
    feed(world, number, Input::Chunk(chunk));
}

/// Accepts a request without an id; returns `None` if the daemon refuses it.
fn start(number: usize, isolated: bool) -> Option<coordinate::RequestState> {
    let own = id::Incarnation::from_u64(number as u64 + 1);
    let arrival =
        coordinate::Arrival { id: None, idempotent: true, attempt: 1, offset: 0, fingerprint: 0 };
    let conditions = coordinate::Conditions {
        own,
        unix_ms: CREATED_MS,
        service: coordinate::ServiceState::Up,
        isolated,
        stopping: false,
        policy: coordinate::OutagePolicy::Issued,
        retention_ms: 1_000,
        skew_ms: 0,
        local: None,
    };
    let admission = coordinate::admit(&arrival, &conditions).ok()?;
    let uuid = uuid::Builder::from_unix_timestamp_millis(CREATED_MS, &[0; 10]).into_uuid();
    let id = coordinate::issue(uuid, own, coordinate::Recording::Required);
    let initial = coordinate::InitialState {
        key: id::RequestKey { account: "a".into(), id },
        fingerprint: 0,
        own,
        nonce: id::Nonce(number as u64),
        maybe_retry: false,
        resumable: true,
        offset: 0,
        retention_ms: 1_000,
    };
    Some(coordinate::RequestState::start(initial, admission).0)
}

fn permit(request: &coordinate::RequestState) -> request::Permit {
    request::Permit {
        key: request.key().clone(),
        endpoint: ENDPOINT.into(),
        ttl_ms: 1_000,
        scheduler: id::Incarnation::from_u64(0),
        cached_tokens: 0,
    }
}
