//! Readers of an answer: callers of this daemon, and peers that follow the answer.

use std::{convert, sync, time};

use tokio::sync::mpsc;
use trefoildyke_types::request;
use trefoildyke_wire::peer;

use crate::{
    callers,
    coordinate::{buffer, entry},
};

/// How many events of one answer are buffered for a slow caller.
const EVENT_BUFFER: usize = 16;

/// A guard that counts as a reader of the entry until it is dropped.
struct Reader(sync::Arc<entry::Entry>);

impl Reader {
    fn new(entry: sync::Arc<entry::Entry>) -> Self {
        entry.add_reader();
        Self(entry)
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.0.remove_reader();
    }
}

/// Returns an answer from `offset` on, in tokens, and the task that sends its events.
pub(super) fn answer(
    entry: sync::Arc<entry::Entry>,
    offset: u64,
) -> (callers::Answer, impl Future<Output = Result<(), convert::Infallible>> + Send + 'static) {
    let (sender, events) = mpsc::channel(EVENT_BUFFER);
    let answer = callers::Answer { id: entry.key.id, events };
    let reader = Reader::new(entry);
    let task = async move {
        tokio::select! {
            () = sender.closed() => {}
            () = send_events(&reader.0, offset, &sender) => {}
        }
        Ok(())
    };
    (answer, task)
}

async fn send_events(
    entry: &entry::Entry,
    mut offset: u64,
    sender: &mpsc::Sender<callers::AnswerEvent>,
) {
    loop {
        let (event, is_last) = match entry.next(offset).await {
            buffer::ReadResult::Chunk(chunk) => {
                offset += chunk.tokens.len() as u64;
                let is_last = chunk.finish.is_some();
                (callers::AnswerEvent::Chunk(chunk), is_last)
            }
            buffer::ReadResult::Refused(refusal) => (callers::AnswerEvent::Refused(refusal), true),
            buffer::ReadResult::Abandoned | buffer::ReadResult::Pending => return,
        };
        if sender.send(event).await.is_err() || is_last {
            return;
        }
    }
}

/// Reads the next chunk of an answer for a peer; waits at most `wait_ms` of the call for it.
pub(super) async fn read(
    entry: sync::Arc<entry::Entry>,
    request: &peer::ReadRequest,
) -> peer::ReadAnswer {
    let reader = Reader::new(entry);
    let wait = time::Duration::from_millis(request.wait_ms);
    match tokio::time::timeout(wait, reader.0.next(request.offset)).await {
        Err(_) | Ok(buffer::ReadResult::Pending) => peer::ReadAnswer::Chunks(vec![]),
        Ok(buffer::ReadResult::Chunk(chunk)) => peer::ReadAnswer::Chunks(vec![chunk]),
        Ok(buffer::ReadResult::Refused(refusal)) => peer::ReadAnswer::Refused(refusal),
        Ok(buffer::ReadResult::Abandoned) => peer::ReadAnswer::Unknown,
    }
}

/// Returns whether the chunk is the last one of its answer.
pub(super) const fn is_last(chunk: &request::Chunk) -> bool {
    chunk.finish.is_some()
}
