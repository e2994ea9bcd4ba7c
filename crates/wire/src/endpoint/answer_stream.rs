//! An answer stream that is resumed when its connection fails.

use std::time;

use tokio::time::Instant;
use trefoildyke_types::{id, request};

use crate::{endpoint, http};

/// The answer to one request, read chunk by chunk.
///
/// Every chunk is checked: it must name the request and continue its tokens without a gap or an
/// overlap. A connection that is silent for too long, fails, or carries a chunk that fails the
/// check is dropped, and the stream is resumed on a new connection at the last offset. The request
/// is never started again.
#[derive(Debug)]
pub struct AnswerStream {
    client: endpoint::EngineClient,
    key: id::RequestKey,
    /// The offset of the next token.
    offset: u64,
    /// The reader of the current connection; `None` while there is no connection.
    reader: Option<http::EventReader>,
    /// When the connection first failed after the last chunk or heartbeat; `None` if it has not.
    failing_since: Option<Instant>,
    /// The number of protocol violations since the last valid chunk.
    consecutive_faults: u32,
    resumes: u32,
    finish: Option<request::Finish>,
}

/// The result of one attempt to read the next event.
enum Attempt {
    Chunk(request::Chunk),
    Heartbeat,
    /// The connection failed, ended early or could not be opened.
    Disconnected(String),
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
        Self {
            client,
            key,
            offset,
            reader: None,
            failing_since: None,
            consecutive_faults: 0,
            resumes: 0,
            finish: None,
        }
    }

    /// Returns the offset of the next token.
    pub const fn offset(&self) -> u64 {
        self.offset
    }

    /// Returns how many times a connection was dropped so that the stream could be resumed.
    pub const fn resumes(&self) -> u32 {
        self.resumes
    }

    /// Returns the next chunk, or `None` after the last one.
    ///
    /// The last chunk says how the answer ended. Dropping the returned future loses no chunk: the
    /// next call continues from the same offset.
    pub async fn next(&mut self) -> Result<Option<request::Chunk>, endpoint::StreamError> {
        while self.finish.is_none() {
            match self.read_event().await? {
                Attempt::Chunk(chunk) => return Ok(Some(self.accept(chunk))),
                Attempt::Heartbeat => self.failing_since = None,
                Attempt::Disconnected(detail) => self.give_up_or_pause(detail).await?,
                Attempt::Fault(fault) => self.record_fault(fault)?,
            }
        }
        Ok(None)
    }

    async fn read_event(&mut self) -> Result<Attempt, endpoint::StreamError> {
        if self.reader.is_none() {
            match self.client.open(&self.key, self.offset).await {
                Ok(Some(reader)) => self.reader = Some(reader),
                Ok(None) => return Err(endpoint::StreamError::NotFound),
                Err(error) if error.kind == trefoildyke_types::error::ErrorKind::Invalid => {
                    return Err(endpoint::StreamError::Invalid(error));
                }
                Err(error) => return Ok(Attempt::Disconnected(error.to_string())),
            }
        }
        let silence = self.client.limits().silence;
        let Some(reader) = &mut self.reader else {
            return Ok(Attempt::Disconnected("no connection".to_owned()));
        };
        Ok(match reader.next(silence).await {
            Ok(Some(http::Event::Comment)) => Attempt::Heartbeat,
            Ok(Some(http::Event::Message { data, .. })) => self.check_chunk(&data),
            Ok(None) => Attempt::Disconnected("the stream ended before its last chunk".to_owned()),
            Err(http::CallError::Unusable(detail)) => {
                Attempt::Fault(endpoint::Fault::Malformed(detail))
            }
            Err(error) => Attempt::Disconnected(error.to_string()),
        })
    }

    fn check_chunk(&self, data: &str) -> Attempt {
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
        self.failing_since = None;
        self.consecutive_faults = 0;
        if self.finish.is_some() {
            self.reader = None;
        }
        chunk
    }

    async fn give_up_or_pause(&mut self, detail: String) -> Result<(), endpoint::StreamError> {
        self.drop_connection();
        let since = *self.failing_since.get_or_insert_with(Instant::now);
        if since.elapsed() >= self.client.limits().give_up {
            return Err(endpoint::StreamError::Unreachable(detail));
        }
        tokio::time::sleep(self.retry_delay()).await;
        Ok(())
    }

    fn record_fault(&mut self, fault: endpoint::Fault) -> Result<(), endpoint::StreamError> {
        self.drop_connection();
        self.consecutive_faults += 1;
        if self.consecutive_faults >= self.client.limits().max_faults {
            return Err(endpoint::StreamError::Protocol(fault));
        }
        Ok(())
    }

    fn drop_connection(&mut self) {
        if self.reader.take().is_some() {
            self.resumes += 1;
        }
    }

    /// Returns the delay before the next attempt to resume.
    ///
    /// The delay is 1 ms until the first failure is `Limits::retry_delay` ago, because a new connection
    /// often works at once, and `Limits::retry_delay` after that.
    fn retry_delay(&self) -> time::Duration {
        let recent = self
            .failing_since
            .is_none_or(|since| since.elapsed() < self.client.limits().retry_delay);
        if recent { time::Duration::from_millis(1) } else { self.client.limits().retry_delay }
    }
}
