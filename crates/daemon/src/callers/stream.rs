//! The event stream that is sent to a caller.

use std::time;

use tokio_util::sync::CancellationToken;
use trefoildyke_wire::http;

use crate::callers::{Answer, AnswerEvent};

/// The data of the first event of a stream: the identifier of the request.
#[derive(serde::Serialize)]
struct Accepted {
    id: trefoildyke_types::id::RequestId,
}

/// Forwards an answer until it ends, the caller disconnects or the daemon shuts down.
///
/// A stream that ends early is aborted, so that the caller cannot take it for a complete one.
pub(crate) async fn run(
    sender: http::EventSender,
    answer: Answer,
    heartbeat: time::Duration,
    shutdown: CancellationToken,
) -> Result<(), http::Aborted> {
    tokio::select! {
        result = forward(&sender, answer, heartbeat) => match result {
            Ok(true) => return Ok(()),
            Ok(false) => {}
            // The caller has disconnected and can resume with the identifier.
            Err(http::Aborted) => return Ok(()),
        },
        () = sender.closed() => return Ok(()),
        () = shutdown.cancelled() => {}
    }
    sender.abort().await;
    Ok(())
}

/// Forwards the events of an answer; returns whether its last event was sent.
async fn forward(
    sender: &http::EventSender,
    mut answer: Answer,
    heartbeat: time::Duration,
) -> Result<bool, http::Aborted> {
    sender.event("accepted", &Accepted { id: answer.id }).await?;
    loop {
        match tokio::time::timeout(heartbeat, answer.events.recv()).await {
            Err(_) => sender.comment("beat").await?,
            Ok(None) => return Ok(false),
            Ok(Some(AnswerEvent::Refused(refusal))) => {
                sender.event("refused", &refusal).await?;
                return Ok(true);
            }
            Ok(Some(AnswerEvent::Chunk(chunk))) => {
                sender.data(&chunk).await?;
                if chunk.finish.is_some() {
                    return Ok(true);
                }
            }
        }
    }
}
