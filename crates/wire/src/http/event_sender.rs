//! Sending server-sent events.

use hyper::header;

use crate::http;

/// A sender of server-sent events as the body of an answer.
#[derive(Clone, Debug)]
pub struct EventSender(http::BodySender);

impl EventSender {
    /// Creates a sender and the answer whose body it fills.
    ///
    /// At most `capacity` events are queued for a slow receiver.
    pub fn new(capacity: usize) -> (Self, hyper::Response<http::Body>) {
        let (sender, body) = http::Body::chunked(capacity);
        let mut response = hyper::Response::new(body);
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("text/event-stream"));
        headers.insert(header::CACHE_CONTROL, header::HeaderValue::from_static("no-store"));
        (Self(sender), response)
    }

    /// Sends a message without an event name.
    pub async fn data(&self, data: &impl serde::Serialize) -> Result<(), http::Aborted> {
        let text = serde_json::to_string(data).map_err(|_| http::Aborted)?;
        self.0.send(format!("data: {text}\n\n")).await
    }

    /// Sends a message with an event name.
    pub async fn event(
        &self,
        name: &str,
        data: &impl serde::Serialize,
    ) -> Result<(), http::Aborted> {
        let text = serde_json::to_string(data).map_err(|_| http::Aborted)?;
        self.0.send(format!("event: {name}\ndata: {text}\n\n")).await
    }

    /// Sends a comment line, which shows that this side is alive.
    pub async fn comment(&self, text: &str) -> Result<(), http::Aborted> {
        self.0.send(format!(": {text}\n\n")).await
    }

    /// Aborts the stream, so that the receiver cannot mistake it for a complete one.
    pub async fn abort(self) {
        self.0.abort().await;
    }

    /// Waits until the receiver has been dropped.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}
