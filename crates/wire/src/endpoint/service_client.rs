//! A client for one plain service.

use std::{net, time};

use hyper::{Method, StatusCode};
use trefoildyke_types::id;

use crate::{
    endpoint::{self, message},
    http,
};

/// A client for one plain service. Clones share limits; each call opens its own connection.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    address: net::SocketAddr,
    client: http::Client,
}

impl ServiceClient {
    /// Creates a client without connections.
    pub fn new(address: net::SocketAddr, limits: endpoint::Limits) -> Self {
        let unpooled = http::ClientLimits {
            connect: limits.connect,
            body: limits.max_bytes,
            pooled: 0,
            ..Default::default()
        };
        Self { address, client: http::Client::new(unpooled) }
    }

    /// Returns the service's address.
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Calls an operation. The call is sent at most once and fails if no answer arrives within
    /// `timeout`.
    pub async fn call(
        &self,
        key: &id::RequestKey,
        operation: &str,
        input: &str,
        timeout: time::Duration,
    ) -> Result<message::ServiceReply, endpoint::StartError> {
        let request = self.request(key, operation, input)?;
        let response = self.client.call(request, timeout).await.map_err(|error| match error {
            http::CallError::NotSent(detail) => endpoint::StartError::NotSent(detail),
            http::CallError::Lost(detail) | http::CallError::Unusable(detail) => {
                endpoint::StartError::Unknown(detail)
            }
        })?;
        check_reply(&response, &key.id)
    }

    fn request(
        &self,
        key: &id::RequestKey,
        operation: &str,
        input: &str,
    ) -> Result<hyper::Request<bytes::Bytes>, endpoint::StartError> {
        hyper::Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}/v1/call/{operation}", self.address))
            .header("x-request-id", key.id.to_string())
            .header("x-account", key.account.as_str())
            .body(bytes::Bytes::copy_from_slice(input.as_bytes()))
            .map_err(|error| endpoint::StartError::NotSent(error.to_string()))
    }
}

fn check_reply(
    response: &hyper::Response<bytes::Bytes>,
    id: &id::RequestId,
) -> Result<message::ServiceReply, endpoint::StartError> {
    let status = response.status();
    if status.is_client_error() {
        let detail = String::from_utf8_lossy(response.body()).into_owned();
        return Err(endpoint::StartError::Refused { status: status.as_u16(), detail });
    }
    if status != StatusCode::OK {
        return Err(endpoint::StartError::Unknown(format!("status {status}")));
    }
    let reply = http::parse::<message::ServiceReply>(response).map_err(|error| {
        endpoint::StartError::Protocol(endpoint::Fault::Malformed(error.to_string()))
    })?;
    if reply.id != *id {
        return Err(endpoint::StartError::Protocol(endpoint::Fault::Foreign(reply.id)));
    }
    Ok(reply)
}
