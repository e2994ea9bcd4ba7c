//! Readers of an answer: callers here and followers at peers.

use std::{convert, sync, time};

use tokio::sync::mpsc;
use trefoildyke_types::request;
use trefoildyke_wire::peer;

use crate::{
    callers,
    coordinate::{entry, kept},
};

/// How many events of one answer wait for a slow caller.
const WAITING: usize = 16;

/// Counts as a reader of the entry until dropped.
struct Reader(sync::Arc<entry::Entry>);

impl Reader {
    fn new(entry: sync::Arc<entry::Entry>) -> Self {
        entry.reader_came();
        Self(entry)
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.0.reader_went();
    }
}

/// Returns an answer from `offset` on and the task that fills it.
pub(super) fn answer(
    entry: sync::Arc<entry::Entry>,
    offset: u64,
) -> (callers::Answer, impl Future<Output = Result<(), convert::Infallible>> + Send + 'static) {
    let (sender, events) = mpsc::channel(WAITING);
    let answer = callers::Answer { id: entry.key.id, events };
    let reader = Reader::new(entry);
    let task = async move {
        tokio::select! {
            () = sender.closed() => {}
            () = fill(&reader.0, offset, &sender) => {}
        }
        Ok(())
    };
    (answer, task)
}

async fn fill(entry: &entry::Entry, mut offset: u64, sender: &mpsc::Sender<callers::AnswerEvent>) {
    loop {
        let (event, is_last) = match entry.next(offset).await {
            kept::Piece::Chunk(chunk) => {
                offset += chunk.tokens.len() as u64;
                let is_last = chunk.finish.is_some();
                (callers::AnswerEvent::Chunk(chunk), is_last)
            }
            kept::Piece::Refused(refusal) => (callers::AnswerEvent::Refused(refusal), true),
            kept::Piece::Abandoned | kept::Piece::Nothing => return,
        };
        if sender.send(event).await.is_err() || is_last {
            return;
        }
    }
}

/// Returns the next piece of an answer for a follower at a peer.
pub(super) async fn read(
    entry: sync::Arc<entry::Entry>,
    request: &peer::ReadRequest,
) -> peer::ReadAnswer {
    let reader = Reader::new(entry);
    let wait = time::Duration::from_millis(request.wait_ms);
    match tokio::time::timeout(wait, reader.0.next(request.offset)).await {
        Err(_) | Ok(kept::Piece::Nothing) => peer::ReadAnswer::Chunks(vec![]),
        Ok(kept::Piece::Chunk(chunk)) => peer::ReadAnswer::Chunks(vec![chunk]),
        Ok(kept::Piece::Refused(refusal)) => peer::ReadAnswer::Refused(refusal),
        Ok(kept::Piece::Abandoned) => peer::ReadAnswer::Unknown,
    }
}

/// Returns whether the answer's chunk is the last.
pub(super) const fn is_last(chunk: &request::Chunk) -> bool {
    chunk.finish.is_some()
}
