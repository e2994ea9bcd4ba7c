//! The names of the headers that a gateway reads and writes.

use hyper::header::{HeaderName, HeaderValue};

/// Names the headers; a deployment that speaks other names replaces them as a whole.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The id of the request, chosen by the caller and repeated in the answer.
    pub request_id: HeaderName,
    /// How long the caller waits, in milliseconds.
    pub deadline: HeaderName,
    /// The caller's key.
    pub key: HeaderName,
    /// Tells the endpoint the client account.
    pub account: HeaderName,
    /// Tells which endpoint is meant; any other does not run the request.
    pub expected_endpoint: HeaderName,
    /// The endpoint's proof that an answer is its own.
    pub seal: HeaderName,
    /// Says that the endpoint did not and will not run the request.
    pub not_run: HeaderName,
    /// The endpoint's limit on requests per second from all hosts combined; a sealed answer without it
    /// withdraws the limit.
    pub rate_limit: HeaderName,
    /// The prompt's tokens and the most tokens to generate, separated by a comma.
    pub tokens: HeaderName,
    /// The model that is asked.
    pub model: HeaderName,
    /// The parts of the prompt that others may begin with as well: `ID:TOKENS`, separated by commas.
    pub parts: HeaderName,
    /// The caller's estimate of the tokens to be generated.
    pub length_hint: HeaderName,
    /// The last event that was received of a stream.
    pub last_event: HeaderName,
    /// Headers that only the system may set; removed from callers' requests.
    pub reserved: Vec<HeaderName>,
}

impl Default for HeaderNames {
    fn default() -> Self {
        Self {
            request_id: HeaderName::from_static("trefoildyke-request-id"),
            deadline: HeaderName::from_static("trefoildyke-deadline-ms"),
            key: HeaderName::from_static("trefoildyke-key"),
            account: HeaderName::from_static("trefoildyke-account"),
            expected_endpoint: HeaderName::from_static("trefoildyke-endpoint"),
            seal: HeaderName::from_static("trefoildyke-seal"),
            not_run: HeaderName::from_static("trefoildyke-not-run"),
            rate_limit: HeaderName::from_static("trefoildyke-rate-limit"),
            tokens: HeaderName::from_static("trefoildyke-tokens"),
            model: HeaderName::from_static("trefoildyke-model"),
            parts: HeaderName::from_static("trefoildyke-prompt-parts"),
            length_hint: HeaderName::from_static("trefoildyke-length-hint"),
            last_event: HeaderName::from_static("last-event-id"),
            reserved: Vec::new(),
        }
    }
}

/// Reads a header as text; `None` if it is missing or not text.
pub(crate) fn text<'a>(headers: &'a hyper::HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).map(HeaderValue::to_str).and_then(Result::ok).map(str::trim)
}

/// Reads a header as a number; `None` if it is missing or no number.
pub(crate) fn number(headers: &hyper::HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.parse().ok()
}
