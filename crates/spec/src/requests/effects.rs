//! The effects of a step on the state: the daemon's own functions decide, and the model applies the
//! actions that they return.

use std::mem;

use trefoildyke_decide::coordinate;
use trefoildyke_types::{id, request, time};

use crate::requests::{
    Bounds, Operation, Told, World,
    world::{self, RETENTION_MS},
};

const PERMIT_MS: u64 = 100;
const FINGERPRINT: u64 = 1;

/// Delivers the caller's request to a daemon.
pub(super) fn arrive(bounds: &Bounds, world: &mut World, daemon: usize, up: bool) {
    world.caller.attempts += 1;
    world.caller.at = Some(daemon);
    let arrival = arrival(bounds, world);
    match coordinate::admit(&arrival, &conditions(bounds, world, daemon, up)) {
        Ok(coordinate::Admission::Attach) => join(bounds, world, daemon, &arrival),
        Ok(admission) => start(bounds, world, daemon, &arrival, admission),
        Err(refusal) => world.caller.told = Some(Told::Refusal(refusal.kind)),
    }
}

/// Passes an input to the daemon's request and performs the actions that it returns.
pub(super) fn feed(
    bounds: &Bounds,
    world: &mut World,
    daemon: usize,
    input: coordinate::Input,
    late: bool,
) {
    let late = late && bounds.guards.expiry;
    let monotonic = time::Timestamp::from_millis(if late { 2 * PERMIT_MS } else { 0 });
    let checked = bounds.guards.recheck;
    let unix_ms = if checked { world.unix_ms(daemon) } else { world::CREATED_MS };
    let Some(request) = &mut world.daemon(daemon).request else {
        return;
    };
    let input = if bounds.guards.nonce { input } else { with_own_nonce(input, request.nonce()) };
    let actions = request.step(coordinate::Now { monotonic, unix_ms }, input);
    perform(bounds, world, daemon, actions);
}

/// Returns the last chunk of the answer to a daemon's request, which completes the answer.
pub(super) fn last_chunk(request: &coordinate::RequestState) -> coordinate::Input {
    coordinate::Input::Chunk(request::Chunk {
        id: request.key().id,
        offset: request.offset(),
        tokens: vec![],
        finish: Some(request::Finish::Whole),
    })
}

/// Returns a permit for an endpoint.
pub(super) fn permit(
    request: &coordinate::RequestState,
    endpoint: &'static str,
) -> request::Permit {
    request::Permit {
        key: request.key().clone(),
        endpoint: endpoint.into(),
        ttl_ms: PERMIT_MS,
        scheduler: id::Incarnation::from_u64(0),
        cached_tokens: 0,
    }
}

fn arrival(bounds: &Bounds, world: &World) -> coordinate::Arrival {
    let idempotent = bounds.kind != super::Kind::Chosen { idempotent: false };
    let attempt = if bounds.marked { world.caller.attempts } else { 1 };
    let id = world.caller.id;
    coordinate::Arrival { id, idempotent, attempt, offset: 0, fingerprint: FINGERPRINT }
}

fn conditions(bounds: &Bounds, world: &World, daemon: usize, up: bool) -> coordinate::Conditions {
    let service = match up {
        true => coordinate::ServiceState::Up,
        false => coordinate::ServiceState::Down { since_ms: 0 },
    };
    let request = world.daemons[daemon].request.as_ref();
    let kept = request.filter(|request| match request.phase() {
        coordinate::Phase::Abandoned => false,
        coordinate::Phase::Refused(_) => !bounds.guards.forget,
        _ => true,
    });
    coordinate::Conditions {
        own: world::incarnation(daemon),
        unix_ms: world.unix_ms(daemon),
        service,
        isolated: false,
        stopping: false,
        policy: bounds.policy,
        retention_ms: retention_ms(bounds),
        skew_ms: 0,
        local: kept.map(|request| coordinate::LocalRequest { fingerprint: request.fingerprint() }),
    }
}

fn retention_ms(bounds: &Bounds) -> u64 {
    if bounds.guards.retention { RETENTION_MS } else { u64::MAX }
}

fn join(bounds: &Bounds, world: &mut World, daemon: usize, arrival: &coordinate::Arrival) {
    let Some(request) = &mut world.daemon(daemon).request else {
        return;
    };
    if bounds.guards.join {
        request.join(arrival.may_be_retry());
    }
    let told = match request.phase() {
        coordinate::Phase::Answered => Told::Answer,
        coordinate::Phase::Refused(kind) => Told::Refusal(*kind),
        _ => return,
    };
    world.caller.told = Some(told);
}

fn start(
    bounds: &Bounds,
    world: &mut World,
    daemon: usize,
    arrival: &coordinate::Arrival,
    admission: coordinate::Admission,
) {
    let admission = if bounds.guards.intent { admission } else { without_record(admission) };
    if let coordinate::Admission::Issue(recording) = admission {
        world.caller.id = Some(issue(bounds, daemon, recording));
    }
    let Some(id) = world.caller.id else {
        return;
    };
    let initial = coordinate::InitialState {
        key: id::RequestKey { account: "a".into(), id },
        fingerprint: FINGERPRINT,
        own: world::incarnation(daemon),
        nonce: id::Nonce(world.nonce),
        maybe_retry: arrival.may_be_retry(),
        resumable: true,
        offset: 0,
        retention_ms: retention_ms(bounds),
    };
    world.nonce += 1;
    let (request, actions) = coordinate::RequestState::start(initial, admission);
    world.daemon(daemon).request = Some(request);
    perform(bounds, world, daemon, actions);
}

fn issue(bounds: &Bounds, daemon: usize, recording: coordinate::Recording) -> id::RequestId {
    let (uuid, own) = (world::uuid(), world::incarnation(daemon));
    match (bounds.guards.issuer, bounds.guards.mark) {
        (false, _) => id::RequestId::chosen(uuid),
        (true, false) => id::RequestId::issued(uuid, own),
        (true, true) => coordinate::issue(uuid, own, recording),
    }
}

fn without_record(admission: coordinate::Admission) -> coordinate::Admission {
    match admission {
        coordinate::Admission::Start(_) => {
            coordinate::Admission::Start(coordinate::Recording::Unrecorded)
        }
        coordinate::Admission::Issue(_) => {
            coordinate::Admission::Issue(coordinate::Recording::Unrecorded)
        }
        admission => admission,
    }
}

/// Replaces the nonce of any intent by the daemon's own, as if the nonce were not compared.
fn with_own_nonce(input: coordinate::Input, nonce: id::Nonce) -> coordinate::Input {
    use coordinate::{Input, ReadOutcome, WriteOutcome};
    use request::Record;

    match input {
        Input::Recorded(WriteOutcome::Exists(Record::Intent(mut intent))) => {
            intent.nonce = nonce;
            Input::Recorded(WriteOutcome::Exists(Record::Intent(intent)))
        }
        Input::LookedUp(ReadOutcome::Found(Record::Intent(mut intent))) => {
            intent.nonce = nonce;
            Input::LookedUp(ReadOutcome::Found(Record::Intent(intent)))
        }
        input => input,
    }
}

fn perform(bounds: &Bounds, world: &mut World, daemon: usize, actions: Vec<coordinate::Action>) {
    use coordinate::{Action, Input, WriteOutcome};

    for action in actions {
        match action {
            Action::RequestPermit => begin(world, daemon, Operation::Ask),
            Action::Withdraw => {
                world.daemon(daemon).operations.retain(|one| *one != Operation::Ask);
            }
            Action::Record(request::Record::Closed { .. }) if !bounds.guards.closing => {
                feed(bounds, world, daemon, Input::Recorded(WriteOutcome::Created), false);
            }
            Action::Record(record) => begin(world, daemon, Operation::Write(record)),
            Action::ReadRecord => begin(world, daemon, Operation::Read),
            Action::Dispatch(endpoint) => begin(world, daemon, Operation::Send(endpoint)),
            Action::Resume { endpoint, .. } => begin(world, daemon, Operation::Resume(endpoint)),
            Action::Attach { coordinator, .. } => {
                begin(world, daemon, Operation::Attach(coordinator));
            }
            Action::Deliver(chunk) if chunk.finish.is_some() => {
                tell(world, daemon, Told::Answer);
            }
            Action::Refuse(refusal) => tell(world, daemon, Told::Refusal(refusal.kind)),
            Action::Deliver(_) | Action::ReturnPermit(_) | Action::Cancel(_) => {}
        }
    }
    let request = world.daemons[daemon].request.as_ref();
    if request.is_some_and(coordinate::RequestState::is_final) {
        abandon(world, daemon);
    }
}

fn begin(world: &mut World, daemon: usize, operation: Operation) {
    world.daemon(daemon).operations.push(operation);
}

fn tell(world: &mut World, daemon: usize, told: Told) {
    if world.caller.at == Some(daemon) && world.caller.told.is_none() {
        world.caller.told = Some(told);
    }
}

/// Drops a daemon's operations; writes and requests that it has sent may still take effect later.
pub(super) fn abandon(world: &mut World, daemon: usize) {
    for operation in mem::take(&mut world.daemon(daemon).operations) {
        match operation {
            Operation::Write(record) => write_late(world, record),
            Operation::Send(endpoint) => send_late(world, endpoint),
            _ => {}
        }
    }
}

/// Adds a write that may take effect later or never.
pub(super) fn write_late(world: &mut World, record: request::Record) {
    if !world.late_writes.contains(&record) {
        world.late_writes.push(record);
        world.late_writes.sort_by_key(request::Record::nonce);
    }
}

/// Adds a request that may reach its endpoint later or never.
pub(super) fn send_late(world: &mut World, endpoint: id::EndpointName) {
    world.late_sends.push(endpoint);
    world.late_sends.sort();
}
