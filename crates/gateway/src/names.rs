//! The names of the headers that a gateway reads and writes.

use hyper::header::{HeaderName, HeaderValue};

/// The names of the headers. A deployment with other header names replaces the whole struct.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The id of the request, chosen by the caller and echoed in the answer.
    pub request_id: HeaderName,
    /// How long the caller waits, in milliseconds.
    pub deadline: HeaderName,
    /// The caller's API key.
    pub key: HeaderName,
    /// The client account, sent to the endpoint.
    pub account: HeaderName,
    /// The endpoint for which the request is meant; any other endpoint must not run it.
    pub expected_endpoint: HeaderName,
    /// The endpoint's proof that it made the answer itself.
    pub seal: HeaderName,
    /// Set if the endpoint did not and will not run the request.
    pub not_run: HeaderName,
    /// The endpoint's limit on requests per second from all hosts combined; a sealed answer without it
    /// removes the limit.
    pub rate_limit: HeaderName,
    /// Set to 1 if the endpoint is about to stop; it gets no new requests then.
    pub leaving: HeaderName,
    /// The prompt's tokens and the maximum number of tokens to generate, separated by a comma.
    pub tokens: HeaderName,
    /// The model that the request is for.
    pub model: HeaderName,
    /// The parts of the prompt that other requests may share as a prefix: `ID:TOKENS`, separated by commas.
    pub prompt_parts: HeaderName,
    /// The caller's estimate of the number of tokens to be generated.
    pub length_hint: HeaderName,
    /// The id of the last stream event that was received.
    pub last_event: HeaderName,
    /// The id of the request whose answer began the stream that a caller resumes.
    pub resumes: HeaderName,
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
            leaving: HeaderName::from_static("trefoildyke-leaving"),
            tokens: HeaderName::from_static("trefoildyke-tokens"),
            model: HeaderName::from_static("trefoildyke-model"),
            prompt_parts: HeaderName::from_static("trefoildyke-prompt-parts"),
            length_hint: HeaderName::from_static("trefoildyke-length-hint"),
            last_event: HeaderName::from_static("last-event-id"),
            resumes: HeaderName::from_static("trefoildyke-resumes"),
            reserved: Vec::new(),
        }
    }
}

/// Reads a header as text; `None` if it is missing or not text.
pub(crate) fn text<'a>(headers: &'a hyper::HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).map(HeaderValue::to_str).and_then(Result::ok).map(str::trim)
}

/// Reads an API key; `None` if the header is missing or empty.
pub(crate) fn key<'a>(headers: &'a hyper::HeaderMap, name: &HeaderName) -> Option<&'a [u8]> {
    let key = headers.get(name)?.as_bytes().trim_ascii();
    (!key.is_empty()).then_some(key)
}

/// Reads a header as a number; `None` if it is missing or not a number.
pub(crate) fn number(headers: &hyper::HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.parse().ok()
}
