//! The operations that a driver waits for: each is a stream of inputs for the request's state.

use std::{sync, time};

use futures::{StreamExt, stream};
use trefoildyke_decide::coordinate::Input;
use trefoildyke_types::{error, id, request, resource, time::Timestamp};
use trefoildyke_wire::{endpoint, peer};

use crate::{
    callers,
    coordinate::{handle, reader},
    endpoints,
};

/// How long the coordinator of an answer waits for a chunk before it answers a read call of a follower.
const READ_WAIT: time::Duration = time::Duration::from_millis(1_000);
/// How much longer than [`READ_WAIT`] the call may take.
const READ_MARGIN: time::Duration = time::Duration::from_millis(2_000);
/// How long to wait before the coordinator is called again after it could not be reached.
const READ_PAUSE: time::Duration = time::Duration::from_millis(100);

/// A stream of inputs, which ends when the operation ends.
pub(super) type Operation = stream::BoxStream<'static, Input>;

type Context = sync::Arc<handle::Context>;

fn once(input: impl Future<Output = Input> + Send + 'static) -> Operation {
    stream::once(input).boxed()
}

/// Returns an operation without inputs that never ends.
pub(super) fn none() -> Operation {
    stream::pending().boxed()
}

/// Asks the scheduler for a permit, after a delay of `pause`.
pub(super) fn ask(
    context: Context,
    shard: endpoints::Shard,
    ask: request::Ask,
    deadline: Timestamp,
    pause: time::Duration,
) -> Operation {
    once(async move {
        tokio::time::sleep(pause).await;
        match context.schedule.ask(&shard, ask, deadline).await {
            Ok(permit) => Input::Permit(permit),
            Err(refusal) => Input::Shed(refusal),
        }
    })
}

/// Writes a record of the request.
pub(super) fn record(context: Context, key: id::RequestKey, record: request::Record) -> Operation {
    once(async move {
        let started_at = time::Instant::now();
        let outcome = context.intents.record(&key, &record).await;
        context.metrics.record_time.record(started_at.elapsed().as_secs_f64() * 1_000.0, &[]);
        Input::Recorded(outcome)
    })
}

/// Reads the record of the request.
pub(super) fn look_up(context: Context, key: id::RequestKey) -> Operation {
    once(async move { Input::LookedUp(context.intents.look_up(&key).await) })
}

/// Sends the request to an endpoint once and reads the answer; `left` is the time left until the deadline.
pub(super) fn dispatch(
    context: &handle::Context,
    spec: &resource::EndpointSpec,
    key: id::RequestKey,
    submission: &callers::Submission,
    left: time::Duration,
) -> Operation {
    match &submission.spec.target {
        request::Target::Model(_) => {
            let generate = endpoint::message::Generate {
                id: key.id,
                account: key.account,
                prompt_tokens: submission.prompt_tokens,
                prefix: submission.spec.prefix.clone(),
                max_tokens: submission.spec.max_tokens,
                input: submission.spec.input.clone(),
            };
            start_generation(context.clients.engine(spec.address), generate)
        }
        request::Target::Service(operation) => {
            let client = endpoint::ServiceClient::new(spec.address, endpoint::Limits::default());
            call_service(client, key, operation.clone(), submission.spec.input.clone(), left)
        }
    }
}

fn start_generation(
    client: endpoint::EngineClient,
    generate: endpoint::message::Generate,
) -> Operation {
    let started = async move {
        match client.start(&generate).await {
            Ok(answer) => chunks(answer),
            Err(error) => once(async move { start_failed(&error) }),
        }
    };
    stream::once(started).flatten().boxed()
}

fn call_service(
    client: endpoint::ServiceClient,
    key: id::RequestKey,
    operation: String,
    input: String,
    left: time::Duration,
) -> Operation {
    once(async move {
        match client.call(&key, &operation, &input, left).await {
            Ok(reply) => Input::Chunk(request::Chunk {
                id: reply.id,
                offset: 0,
                tokens: vec![reply.output],
                finish: Some(request::Finish::Whole),
            }),
            Err(error) => start_failed(&error),
        }
    })
}

fn start_failed(error: &endpoint::StartError) -> Input {
    match error {
        endpoint::StartError::NotSent(_) => Input::ConnectFailed,
        endpoint::StartError::Refused { .. } => {
            let kind = request::RefusalKind::Failed;
            Input::EndpointFailed(request::Refusal::new(
                kind,
                "endpoint_refused",
                error.to_string(),
            ))
        }
        endpoint::StartError::Unknown(_) | endpoint::StartError::Protocol(_) => Input::StreamLost,
    }
}

/// Resumes the stream at an engine from token `offset` on.
pub(super) fn resume(
    context: &handle::Context,
    spec: &resource::EndpointSpec,
    key: &id::RequestKey,
    offset: u64,
) -> Operation {
    chunks(context.clients.engine(spec.address).resume(key, offset))
}

/// Returns the chunks of an answer. The stream resumes by itself after faults, so an error from it is final.
fn chunks(answer: endpoint::AnswerStream) -> Operation {
    stream::unfold(Some(answer), |answer| async move {
        let mut answer = answer?;
        match answer.next().await {
            Ok(Some(chunk)) => Some((Input::Chunk(chunk), Some(answer))),
            Ok(None) => None,
            Err(_) => Some((Input::ResumeFailed, None)),
        }
    })
    .boxed()
}

/// Follows the answer at its coordinator from token `offset` on.
///
/// If `is_only_source`, a coordinator that is not reached is called again for as long as it is a member.
pub(super) fn attach(
    context: Context,
    coordinator: id::Incarnation,
    key: id::RequestKey,
    offset: u64,
    is_only_source: bool,
) -> Operation {
    let wait_ms = u64::try_from(READ_WAIT.as_millis()).unwrap_or(u64::MAX);
    let first = peer::ReadRequest { key, offset, wait_ms };
    stream::unfold(Some(first), move |request| {
        let context = sync::Arc::clone(&context);
        async move {
            let request = request?;
            let (inputs, next) = match read_once(&context, coordinator, request.clone()).await {
                Err(error) if is_only_source && is_unreached(&error) => {
                    tokio::time::sleep(READ_PAUSE).await;
                    (vec![], Some(request))
                }
                Err(_) => (vec![Input::AttachFailed], None),
                Ok(read) => read,
            };
            Some((stream::iter(inputs), next))
        }
    })
    .flatten()
    .boxed()
}

/// Returns whether a member could not be reached, so that a later call may be answered.
const fn is_unreached(error: &error::Error) -> bool {
    matches!(error.kind, error::ErrorKind::Unavailable)
}

/// Makes one read call; returns the resulting inputs and the next call, if the answer has not ended.
async fn read_once(
    context: &handle::Context,
    coordinator: id::Incarnation,
    mut request: peer::ReadRequest,
) -> Result<(Vec<Input>, Option<peer::ReadRequest>), error::Error> {
    let call = (context.peer_calls.read)(coordinator, request.clone(), READ_WAIT + READ_MARGIN);
    Ok(match call.await? {
        peer::ReadAnswer::Chunks(chunks) => {
            let tokens: usize = chunks.iter().map(|chunk| chunk.tokens.len()).sum();
            request.offset += tokens as u64;
            let is_last = chunks.last().is_some_and(reader::is_last);
            let inputs = chunks.into_iter().map(Input::Chunk).collect();
            (inputs, (!is_last).then_some(request))
        }
        peer::ReadAnswer::Refused(refusal) => (vec![Input::Refused(refusal)], None),
        peer::ReadAnswer::Unknown => (vec![Input::AttachFailed], None),
    })
}
