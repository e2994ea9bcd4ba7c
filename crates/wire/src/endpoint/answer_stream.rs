//! A stream that is resumed when its connection fails.

use std::time;

use tokio::time::Instant;
use trefoildyke_types::{id, request};

use crate::{endpoint, http};

/// Reads the answer to one request, chunk by chunk.
///
/// Every chunk is checked: it names the request and continues it without a gap or an overlap. A
/// connection that is silent for too long, breaks off, or carries a chunk that fails the check is
/// given up, and the stream is resumed on a new one at the last offset. Nothing is ever started
/// again.
#[derive(Debug)]
pub struct AnswerStream {
    client: endpoint::EngineClient,
    key: id::RequestKey,
    /// The offset of the next token.
    offset: u64,
    /// The connection; `None` while there is none.
    reader: Option<http::EventReader>,
    /// Since when there has been no word from the engine.
    lost: Option<Instant>,
    /// Answers in a row that broke the protocol.
    faults: u32,
    resumes: u32,
    finish: Option<request::Finish>,
}

enum Attempt {
    Chunk(request::Chunk),
    Beat,
    /// The connection is of no more use.
    Broken(String),
    Fault(endpoint::Fault),
}

impl AnswerStream {
    pub(super) fn started(
        client: endpoint::EngineClient,
        key: id::RequestKey,
        reader: http::EventReader,
    ) -> Self {
        Self { reader: Some(reader), ..Self::resumed(client, key, 0) }
    }

    pub(super) fn resumed(
        client: endpoint::EngineClient,
        key: id::RequestKey,
        offset: u64,
    ) -> Self {
        Self { client, key, offset, reader: None, lost: None, faults: 0, resumes: 0, finish: None }
    }

    /// Returns the offset of the next token.
    pub const fn offset(&self) -> u64 {
        self.offset
    }

    /// Returns how many connections were opened to go on after a fault.
    pub const fn resumes(&self) -> u32 {
        self.resumes
    }

    /// Returns the next chunk, or `None` after the last one.
    ///
    /// The last chunk says how the answer ended. Dropping the returned future loses nothing: the
    /// next call goes on.
    pub async fn next(&mut self) -> Result<Option<request::Chunk>, endpoint::StreamError> {
        while self.finish.is_none() {
            match self.attempt().await? {
                Attempt::Chunk(chunk) => return Ok(Some(self.accept(chunk))),
                Attempt::Beat => self.lost = None,
                Attempt::Broken(detail) => self.give_up_or_pause(detail).await?,
                Attempt::Fault(fault) => self.count(fault)?,
            }
        }
        Ok(None)
    }

    async fn attempt(&mut self) -> Result<Attempt, endpoint::StreamError> {
        if self.reader.is_none() {
            match self.client.open(&self.key, self.offset).await {
                Ok(Some(reader)) => self.reader = Some(reader),
                Ok(None) => return Err(endpoint::StreamError::NotFound),
                Err(error) if error.kind == trefoildyke_types::error::ErrorKind::Invalid => {
                    return Err(endpoint::StreamError::Invalid(error));
                }
                Err(error) => return Ok(Attempt::Broken(error.to_string())),
            }
        }
        let silence = self.client.limits().silence;
        let Some(reader) = &mut self.reader else {
            return Ok(Attempt::Broken("no connection".to_owned()));
        };
        Ok(match reader.next(silence).await {
            Ok(Some(http::Event::Comment)) => Attempt::Beat,
            Ok(Some(http::Event::Message { data, .. })) => self.check(&data),
            Ok(None) => Attempt::Broken("the stream ended before its last chunk".to_owned()),
            Err(http::CallError::Unusable(detail)) => {
                Attempt::Fault(endpoint::Fault::Malformed(detail))
            }
            Err(error) => Attempt::Broken(error.to_string()),
        })
    }

    fn check(&self, data: &str) -> Attempt {
        let chunk = match serde_json::from_str::<request::Chunk>(data) {
            Ok(chunk) => chunk,
            Err(error) => return Attempt::Fault(endpoint::Fault::Malformed(error.to_string())),
        };
        let (expected, found) = (self.offset, chunk.offset);
        if chunk.id != self.key.id {
            Attempt::Fault(endpoint::Fault::Foreign(chunk.id))
        } else if found > expected {
            Attempt::Fault(endpoint::Fault::Gap { expected, found })
        } else if found < expected {
            Attempt::Fault(endpoint::Fault::Overlap { expected, found })
        } else {
            Attempt::Chunk(chunk)
        }
    }

    fn accept(&mut self, chunk: request::Chunk) -> request::Chunk {
        self.offset += chunk.tokens.len() as u64;
        self.finish = chunk.finish;
        self.lost = None;
        self.faults = 0;
        if self.finish.is_some() {
            self.reader = None;
        }
        chunk
    }

    async fn give_up_or_pause(&mut self, detail: String) -> Result<(), endpoint::StreamError> {
        self.drop_connection();
        let since = *self.lost.get_or_insert_with(Instant::now);
        if since.elapsed() >= self.client.limits().give_up {
            return Err(endpoint::StreamError::Unreachable(detail));
        }
        tokio::time::sleep(self.pause()).await;
        Ok(())
    }

    fn count(&mut self, fault: endpoint::Fault) -> Result<(), endpoint::StreamError> {
        self.drop_connection();
        self.faults += 1;
        if self.faults >= self.client.limits().faults {
            return Err(endpoint::StreamError::Protocol(fault));
        }
        Ok(())
    }

    fn drop_connection(&mut self) {
        if self.reader.take().is_some() {
            self.resumes += 1;
        }
    }

    /// Waits less after the first failure: a new connection often works at once.
    fn pause(&self) -> time::Duration {
        let fresh = self.lost.is_none_or(|since| since.elapsed() < self.client.limits().pause);
        if fresh { time::Duration::from_millis(1) } else { self.client.limits().pause }
    }
}
