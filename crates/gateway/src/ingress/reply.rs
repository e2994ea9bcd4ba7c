//! Answers that the gateway makes itself.

use std::time;

use bytes::Bytes;
use hyper::{StatusCode, header};

use crate::ingress;

/// The reason for refusing a request that crashes endpoints.
pub(crate) const QUARANTINED: &str = "quarantined";

/// An answer that the gateway makes itself: a refusal or a failure.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    /// The code of the reason, for logs and for the caller.
    pub(crate) reason: &'static str,
    /// When the caller should retry.
    pub(crate) retry_after: Option<time::Duration>,
    /// Whether the connection is closed after the answer.
    pub(crate) close: bool,
}

impl Reply {
    pub(crate) const fn new(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None, close: false }
    }

    /// Creates an answer which says that nothing ran and when to retry.
    pub(crate) const fn not_run(reason: &'static str, retry_after: time::Duration) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self { status, reason, retry_after: Some(retry_after), close: false }
    }

    /// Makes the connection close after the answer.
    pub(crate) const fn closing(mut self) -> Self {
        self.close = true;
        self
    }

    pub(crate) fn response(&self) -> hyper::Response<ingress::Body> {
        let body = serde_json::json!({ "error": self.reason }).to_string();
        let mut response = hyper::Response::new(ingress::full(Bytes::from(body)));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
        if let Some(after) = self.retry_after {
            let seconds = format!("{:.1}", after.as_secs_f64().max(0.1));
            if let Ok(value) = header::HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        if self.close {
            headers.insert(header::CONNECTION, header::HeaderValue::from_static("close"));
        }
        response
    }
}
