//! What endpoints say of themselves in the heads of their answers.

use std::time;

use hyper::{StatusCode, header};

use crate::{names, names::HeaderNames};

/// The longest time for which an endpoint can ask for no requests.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(600);

/// The value of the header of an endpoint that leaves.
const LEAVING: &str = "1";

/// What an endpoint says of itself in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Notices {
    /// The endpoint's rate limit in requests per second: `Some(None)` if it sets none, `None` if the answer
    /// does not tell or the value is invalid.
    pub(crate) rate_limit: Option<Option<f64>>,
    /// Whether the endpoint is about to stop.
    pub(crate) leaving: bool,
    /// For how long the endpoint wants no further requests from this host.
    pub(crate) backoff: Option<time::Duration>,
}

impl Notices {
    pub(super) fn read<B>(names: &HeaderNames, response: &hyper::Response<B>) -> Self {
        // The answer to a misdirected request comes from another endpoint than the one that was meant.
        if response.status() == StatusCode::MISDIRECTED_REQUEST {
            return Self::default();
        }
        Self {
            rate_limit: rate_limit(names, response),
            leaving: is_leaving(names, response),
            backoff: backoff(response),
        }
    }
}

/// Reads the endpoint's rate limit.
///
/// A missing header means that there is no limit only if the answer is sealed: an unsealed answer may
/// come from an intermediary.
fn rate_limit<B>(names: &HeaderNames, response: &hyper::Response<B>) -> Option<Option<f64>> {
    let headers = response.headers();
    if !headers.contains_key(&names.rate_limit) {
        return headers.contains_key(&names.seal).then_some(None);
    }
    let text = names::text(headers, &names.rate_limit);
    let limit = text.and_then(|text| text.parse::<f64>().ok());
    let limit = limit.filter(|limit| limit.is_finite() && *limit >= 0.0);
    if limit.is_none() {
        log::warn!(
            "ignoring an endpoint's rate limit {text:?}: expected a finite, non-negative number of requests per second"
        );
    }
    limit.map(Some)
}

fn is_leaving<B>(names: &HeaderNames, response: &hyper::Response<B>) -> bool {
    let headers = response.headers();
    if !headers.contains_key(&names.leaving) {
        return false;
    }
    let text = names::text(headers, &names.leaving);
    if text != Some(LEAVING) {
        log::warn!("ignoring an endpoint's notice to leave {text:?}: expected {LEAVING:?}");
    }
    text == Some(LEAVING)
}

/// Reads for how long a rejection asks for no further requests.
fn backoff<B>(response: &hyper::Response<B>) -> Option<time::Duration> {
    let is_rejection = matches!(
        response.status(),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    if !is_rejection || !response.headers().contains_key(header::RETRY_AFTER) {
        return None;
    }
    let text = names::text(response.headers(), &header::RETRY_AFTER);
    let seconds = text.and_then(|text| text.parse::<f64>().ok());
    let seconds = seconds.filter(|seconds| seconds.is_finite() && *seconds >= 0.0);
    if seconds.is_none() {
        log::warn!(
            "ignoring an endpoint's Retry-After {text:?}: expected a finite, non-negative number of seconds"
        );
    }
    seconds.map(|seconds| time::Duration::from_secs_f64(seconds.min(MAX_BACKOFF.as_secs_f64())))
}
