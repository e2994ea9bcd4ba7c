//! Sending an order to an engine.

use std::{net, time};

use trefoildyke_decide::orders;
use trefoildyke_types::time::Timestamp;
use trefoildyke_wire::endpoint::{self, message};

use crate::orders::LeaseClock;

/// Sends an order once, unless the time has reached `send_deadline` when the connection is ready to
/// write.
pub(super) async fn send(
    clock: LeaseClock,
    address: Option<net::SocketAddr>,
    order: orders::Order,
    fence: u64,
    send_deadline: Timestamp,
    wait: time::Duration,
) -> orders::Input {
    let key = order.key.clone();
    let Some(address) = address else {
        let reason = format!("there is no endpoint `{}`", order.endpoint);
        return orders::Input::Sent { key, result: orders::SendResult::Refused(reason) };
    };
    let client = endpoint::EngineClient::new(address, endpoint::Limits::default());
    let message = message::Order { order: key.to_string(), fence, action: order.action };
    let sent = client.order(&message, wait, || clock.now() < send_deadline).await;
    orders::Input::Sent { key, result: send_result(sent) }
}

fn send_result(sent: Result<(), endpoint::OrderError>) -> orders::SendResult {
    match sent {
        Ok(()) => orders::SendResult::Done,
        Err(endpoint::OrderError::NotSent(_) | endpoint::OrderError::TooLate) => {
            orders::SendResult::NotSent
        }
        Err(endpoint::OrderError::Stale { .. }) => orders::SendResult::Stale,
        Err(endpoint::OrderError::Refused { status, detail }) => orders::SendResult::Refused(
            format!("the engine answered with status {status}: {detail}"),
        ),
        Err(endpoint::OrderError::Unknown(_)) => orders::SendResult::Unknown,
    }
}
