//! Model of answers: chunks are lost, duplicated, leave a gap or belong to another request.
//!
//! One request was dispatched, and its answer has a few tokens. At any time the connection may deliver
//! any chunk of this answer or of another request's answer, or may be lost. The coordinator's own
//! function decides what is delivered to the caller.

use std::fmt;

use trefoildyke_decide::coordinate::{self, Action, Input};
use trefoildyke_types::{id, request, time};

use crate::{explore, invariant::Invariant};

const CREATED_MS: u64 = 1_000_000;
const NOW: coordinate::Now =
    coordinate::Now { monotonic: time::Timestamp::ZERO, unix_ms: CREATED_MS };

/// The size of the model and which guards are enabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The length of the answer in tokens.
    pub tokens: u64,
    /// Whether the request id of a chunk is compared.
    pub identifier: bool,
    /// Whether the offset of a chunk is compared.
    pub offset: bool,
}

/// A step of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A chunk arrives: whether it belongs to this request, its first token and the one after its last.
    Piece(bool, u64, u64),
    /// The connection is lost.
    Lose,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Piece(true, from, to) => write!(f, "tokens {from} to {to} arrive"),
            Self::Piece(false, from, to) => {
                write!(f, "tokens {from} to {to} of another request arrive")
            }
            Self::Lose => write!(f, "the connection is lost"),
        }
    }
}

/// The complete state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    /// The request.
    pub request: coordinate::RequestState,
    /// The tokens that the caller has received.
    pub got: Vec<String>,
    /// Whether the caller was told that the answer is complete.
    pub whole: bool,
}

impl World {
    fn new() -> Self {
        let permit = permit();
        let (mut request, _) = coordinate::RequestState::start(
            initial_state(permit.key.clone()),
            coordinate::Admission::Start(coordinate::Recording::Unrecorded),
        );
        request.step(NOW, Input::Permit(permit));
        Self { request, got: vec![], whole: false }
    }

    fn check(&self, bounds: &Bounds) -> Option<Invariant> {
        let expected = |place: usize| token(true, place as u64);
        let own = self.got.iter().enumerate().all(|(place, got)| *got == expected(place));
        let short = self.whole && (self.got.len() as u64) < bounds.tokens;
        (!own || short).then_some(Invariant::WholeOwnAnswer)
    }
}

/// Explores every state within the bounds.
pub fn explore(bounds: &Bounds) -> explore::Report {
    let check = |world: &World| world.check(bounds);
    explore::explore(&World::new(), |world| next(bounds, world), check)
}

/// Returns the shortest sequence of steps to a complete answer.
pub fn reach_whole(bounds: &Bounds) -> Option<Vec<String>> {
    explore::reach(&World::new(), |world| next(bounds, world), |world| world.whole)
}

fn next(bounds: &Bounds, world: &World) -> Vec<(Step, World)> {
    let mut successors = vec![];
    if world.request.is_final() {
        return successors;
    }
    successors.push((Step::Lose, feed(world, Input::StreamLost)));
    for own in [true, false] {
        for from in 0..bounds.tokens {
            for to in from + 1..=bounds.tokens {
                let piece = piece(bounds, world, own, from, to);
                successors.push((Step::Piece(own, from, to), feed(world, Input::Chunk(piece))));
            }
        }
    }
    successors
}

/// Returns a chunk; with a guard disabled, its id or offset is always the one that the request expects.
fn piece(bounds: &Bounds, world: &World, own: bool, from: u64, to: u64) -> request::Chunk {
    let key = world.request.key();
    let foreign = id::RequestId::chosen(uuid(1));
    let id = if own || !bounds.identifier { key.id } else { foreign };
    let offset = if bounds.offset { from } else { world.request.offset() };
    let finish = (to == bounds.tokens).then_some(request::Finish::Whole);
    request::Chunk { id, offset, tokens: (from..to).map(|one| token(own, one)).collect(), finish }
}

fn feed(world: &World, input: Input) -> World {
    let mut world = world.clone();
    for action in world.request.step(NOW, input) {
        if let Action::Deliver(chunk) = action {
            world.got.extend(chunk.tokens);
            world.whole |= chunk.finish.is_some();
        }
    }
    world
}

fn token(own: bool, place: u64) -> String {
    format!("{}{place}", if own { "own" } else { "other" })
}

fn uuid(last: u8) -> uuid::Uuid {
    let bytes = [0, 0, 0, 0, 0, 0, 0, 0, 0, last];
    uuid::Builder::from_unix_timestamp_millis(CREATED_MS, &bytes).into_uuid()
}

fn permit() -> request::Permit {
    request::Permit {
        key: id::RequestKey { account: "a".into(), id: id::RequestId::chosen(uuid(0)) },
        endpoint: "e".into(),
        ttl_ms: 1_000,
        scheduler: id::Incarnation::from_u64(0),
        cached_tokens: 0,
    }
}

fn initial_state(key: id::RequestKey) -> coordinate::InitialState {
    coordinate::InitialState {
        key,
        fingerprint: 0,
        own: id::Incarnation::from_u64(1),
        nonce: id::Nonce(1),
        maybe_retry: false,
        resumable: true,
        offset: 0,
        retention_ms: 1_000,
    }
}
