//! The event stream that a caller reads.

use std::time;

use tokio_util::sync::CancellationToken;
use trefoildyke_wire::http;

use crate::callers::{Answer, AnswerEvent};

/// Tells the caller its identifier, first of all.
#[derive(serde::Serialize)]
struct Accepted {
    id: trefoildyke_types::id::RequestId,
}

/// Passes an answer on until its end, until the caller has gone or until the daemon ends.
///
/// A stream that ends early is broken off, so that it cannot be taken for a whole one.
pub(crate) async fn run(
    sender: http::EventSender,
    answer: Answer,
    beat: time::Duration,
    ending: CancellationToken,
) -> Result<(), http::Aborted> {
    tokio::select! {
        result = pass_on(&sender, answer, beat) => match result {
            Ok(true) => return Ok(()),
            Ok(false) => {}
            // The caller has gone and can come back with the identifier.
            Err(http::Aborted) => return Ok(()),
        },
        () = sender.closed() => return Ok(()),
        () = ending.cancelled() => {}
    }
    sender.abort().await;
    Ok(())
}

/// Returns whether the answer came to its end.
async fn pass_on(
    sender: &http::EventSender,
    mut answer: Answer,
    beat: time::Duration,
) -> Result<bool, http::Aborted> {
    sender.event("accepted", &Accepted { id: answer.id }).await?;
    loop {
        match tokio::time::timeout(beat, answer.events.recv()).await {
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
