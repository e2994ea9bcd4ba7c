//! Bodies of requests that were answered before they were received.

use std::{sync, time};

use http_body_util::{BodyExt as _, Limited};
use hyper::body;
use tokio::sync::mpsc;
use trefoildyke_decide::gateway;

use crate::{ingress, state};

/// Reads and discards what callers still send of requests that were answered.
///
/// A connection that is closed with unread bytes is reset, and the reset may overtake the answer. A caller
/// that sends more than the limits on bodies allow is cut off.
pub(crate) async fn discard_unread(
    shared: sync::Arc<state::Shared>,
    mut bodies: mpsc::UnboundedReceiver<body::Incoming>,
) {
    while let Some(body) = bodies.recv().await {
        let limits = ingress::limits(&shared);
        let time_limit = time::Duration::from_millis(limits.header_ms);
        let _ = tokio::time::timeout(time_limit, discard(body, &limits)).await;
    }
}

async fn discard(body: body::Incoming, limits: &gateway::Limits) {
    let mut body = Limited::new(body, limits.body_bytes);
    while let Some(Ok(_)) = body.frame().await {}
}
