//! Sends every request at its time.

use std::{sync, time};

use tokio::{task, time::Instant};
use trefoildyke_types::{error, time::Timestamp};
use trefoildyke_wire::http;

use super::sender;
use crate::{
    experiment::{arrivals, scenario},
    load,
};

/// How many unused connections are kept to each daemon.
const POOLED: usize = 512;

/// Sends the arrivals of a scenario at their times and returns what their callers saw, in order.
///
/// # Errors
///
/// Fails if an account has no key.
pub async fn drive(
    plan: &load::Plan,
    scenario: &scenario::Scenario,
    arrivals: &[arrivals::Arrival],
) -> Result<Vec<load::RequestLog>, error::Error> {
    for arrival in arrivals {
        plan.keys.of(&arrival.key.account)?;
    }
    let limits = http::ClientLimits { pooled: POOLED, ..http::ClientLimits::default() };
    let client = http::Client::new(limits);
    let plan = sync::Arc::new(plan.clone());
    let mut callers = task::JoinSet::new();
    let start = Instant::now();
    for (number, arrival) in arrivals.iter().enumerate() {
        let due = start + since_origin(arrival.at);
        tokio::time::sleep_until(due).await;
        let class = scenario.classes[arrival.class].name.clone();
        let (plan, client, arrival) = (sync::Arc::clone(&plan), client.clone(), arrival.clone());
        callers.spawn(async move {
            let (plan, client, arrival) = (&*plan, &client, &arrival);
            let sender = sender::Sender { plan, client, arrival, class: &class };
            (number, sender.send(due).await)
        });
    }
    let mut logs = callers.join_all().await;
    client.close().await;
    logs.sort_by_key(|(number, _)| *number);
    logs.into_iter().map(|(_, log)| log).collect()
}

fn since_origin(at: Timestamp) -> time::Duration {
    at.since(Timestamp::ZERO)
}
