//! Rules for forwarding headers.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, header};

use crate::{ingress, names::HeaderNames};

/// Hop-by-hop headers, in addition to those that `Connection` names.
const HOP_BY_HOP: [header::HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Builds the request for an endpoint; the deadline is added before each send.
pub(crate) fn endpoint_request(
    names: &HeaderNames,
    head: &http::request::Parts,
    body: Bytes,
) -> hyper::Request<Full<Bytes>> {
    let mut headers = head.headers.clone();
    strip_hop_by_hop(&mut headers);
    let internal = [&names.key, &names.account, &names.expected_endpoint, &names.deadline];
    for name in internal.into_iter().chain(&names.reserved) {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let has_body = !body.is_empty() || head.headers.contains_key(header::CONTENT_LENGTH);
    let mut request = hyper::Request::new(Full::new(body));
    if has_body && body_length(&request) == 0 {
        headers.insert(header::CONTENT_LENGTH, header::HeaderValue::from_static("0"));
    }
    *request.method_mut() = head.method.clone();
    let target = head.uri.path_and_query().map_or("/", |target| target.as_str());
    *request.uri_mut() = target.parse().unwrap_or_default();
    *request.headers_mut() = headers;
    request
}

/// Returns the head of an endpoint's answer as it is forwarded.
pub(crate) fn response_head(
    mut headers: HeaderMap,
    status: hyper::StatusCode,
    body: ingress::Body,
) -> hyper::Response<ingress::Body> {
    strip_hop_by_hop(&mut headers);
    let mut response = hyper::Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<header::HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != header::CONTENT_LENGTH && *name != header::HOST)
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

fn body_length(request: &hyper::Request<Full<Bytes>>) -> u64 {
    use hyper::body::Body as _;
    request.body().size_hint().exact().unwrap_or(0)
}
