//! Reading server-sent events.

use std::time;

use http_body_util::BodyExt as _;
use hyper::body;

use crate::http;

/// A reader of server-sent events from the body of an answer.
#[derive(Debug)]
pub struct EventReader {
    body: body::Incoming,
    /// Received bytes that have not been returned yet; at most `limit` plus one frame.
    buffer: bytes::BytesMut,
    /// The number of bytes of `buffer` in which no item ends.
    searched: usize,
    limit: usize,
}

impl EventReader {
    /// Creates a reader that fails if an incomplete item is longer than `limit` bytes.
    pub fn new(body: body::Incoming, limit: usize) -> Self {
        Self { body, buffer: bytes::BytesMut::new(), searched: 0, limit }
    }

    /// Returns the next item, or `None` if the stream ended after a complete item.
    ///
    /// # Errors
    ///
    /// [`http::CallError::Lost`] if nothing arrived for `timeout` or the stream ended within an item;
    /// [`http::CallError::Unusable`] if an item is too long or not UTF-8.
    pub async fn next(
        &mut self,
        timeout: time::Duration,
    ) -> Result<Option<http::Event>, http::CallError> {
        loop {
            if let Some(item) = self.take_item() {
                return parse(&item).map(Some);
            }
            if self.buffer.len() > self.limit {
                let detail = format!("an event is longer than {} bytes", self.limit);
                return Err(http::CallError::Unusable(detail));
            }
            if !self.fill_buffer(timeout).await? {
                return self.check_end();
            }
        }
    }

    async fn fill_buffer(&mut self, timeout: time::Duration) -> Result<bool, http::CallError> {
        let frame = tokio::time::timeout(timeout, self.body.frame()).await.map_err(|_| {
            http::CallError::Lost(format!("nothing came for {} ms", timeout.as_millis()))
        })?;
        let Some(frame) = frame else {
            return Ok(false);
        };
        let frame = frame.map_err(|error| http::CallError::Lost(error.to_string()))?;
        if let Some(data) = frame.data_ref() {
            self.buffer.extend_from_slice(data);
        }
        Ok(true)
    }

    fn check_end(&self) -> Result<Option<http::Event>, http::CallError> {
        if self.buffer.is_empty() {
            return Ok(None);
        }
        Err(http::CallError::Lost("the stream ended within an event".to_owned()))
    }

    fn take_item(&mut self) -> Option<bytes::Bytes> {
        let end = self.buffer[self.searched..].windows(2).position(|pair| pair == b"\n\n");
        let Some(end) = end else {
            // The last byte may begin the end of the item.
            self.searched = self.buffer.len().saturating_sub(1);
            return None;
        };
        let length = std::mem::take(&mut self.searched) + end + 2;
        Some(self.buffer.split_to(length).freeze())
    }
}

fn parse(item: &[u8]) -> Result<http::Event, http::CallError> {
    let text = std::str::from_utf8(item)
        .map_err(|_| http::CallError::Unusable("an event is not UTF-8".to_owned()))?;
    let mut name = String::new();
    let mut data = Vec::new();
    for line in text.lines() {
        if let Some(value) = field_value(line, "data:") {
            data.push(value);
        } else if let Some(value) = field_value(line, "event:") {
            value.clone_into(&mut name);
        }
    }
    if data.is_empty() {
        return Ok(http::Event::Comment);
    }
    Ok(http::Event::Message { name, data: data.join("\n") })
}

fn field_value<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(' ').unwrap_or(value))
}
