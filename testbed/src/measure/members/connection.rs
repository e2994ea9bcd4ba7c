//! What a connection and a call between daemons cost.

use std::time;

use trefoildyke_kernel as kernel;
use trefoildyke_types::id;
use trefoildyke_wire::peer;

use crate::{measure::table, member, relay};

const CALLS: u64 = 1_000;
const DEADLINE: time::Duration = time::Duration::from_secs(20);
const IDLE: time::Duration = time::Duration::from_secs(22);

/// Measures one connection on the loopback address: opening it, calls on it, and its idling.
///
/// The bytes are those that pass between the sockets, without TCP's and IP's headers.
///
/// # Errors
///
/// Fails if the peer cannot be started or does not answer.
pub fn connection() -> anyhow::Result<comfy_table::Table> {
    let kernel = kernel::Kernel::builder().start()?;
    let rows = kernel.block_on(rows(&kernel));
    let faults = kernel.close();
    anyhow::ensure!(faults.is_empty(), "{faults:?}");
    let mut table = table::new(&["what", "bytes", "pieces", "us, median", "us, 99 in 100"]);
    for row in rows? {
        table.add_row(row);
    }
    Ok(table)
}

async fn rows(kernel: &kernel::Kernel) -> anyhow::Result<Vec<Vec<String>>> {
    let keys = peer::Keys::new(&["a key for measurements"])?;
    let start = member::Start::new(1, keys.clone()).await?;
    let node = start.start(kernel)?;
    let relay = relay::serve(node.address).await?;
    let identity = peer::Identity {
        incarnation: id::Incarnation::from_u64(2),
        keys,
        clock: peer::Clock::default(),
    };
    let limits = peer::Limits::default();
    let opening = time::Instant::now();
    let connected = peer::connect(relay.address(), None, &identity, limits).await?;
    let opening = opening.elapsed();
    let driver = tokio::spawn(connected.driver);
    // The first call also shows that the proof has been read.
    connected.client.ping(peer::within(DEADLINE)).await?;
    let opened = (relay.bytes(), relay.pieces());
    let mut calls = hdrhistogram::Histogram::<u64>::new(3)?;
    for _ in 0..CALLS {
        let started = time::Instant::now();
        connected.client.ping(peer::within(DEADLINE)).await?;
        calls.record(started.elapsed().as_micros() as u64)?;
    }
    let called = (relay.bytes(), relay.pieces());
    tokio::time::sleep(IDLE).await;
    let idled = (relay.bytes(), relay.pieces());
    drop(connected.client);
    driver.await??;
    let per = |after: u64, before: u64, count: u64| {
        format!("{:.1}", (after - before) as f64 / count as f64)
    };
    let opening_us = opening.as_micros().to_string();
    Ok(vec![
        vec![
            "opening, with a first call".to_owned(),
            opened.0.to_string(),
            opened.1.to_string(),
            opening_us,
            String::new(),
        ],
        vec![
            "an empty call".to_owned(),
            per(called.0, opened.0, CALLS),
            per(called.1, opened.1, CALLS),
            calls.value_at_quantile(0.5).to_string(),
            calls.value_at_quantile(0.99).to_string(),
        ],
        vec![
            "a second without calls".to_owned(),
            per(idled.0, called.0, IDLE.as_secs()),
            per(idled.1, called.1, IDLE.as_secs()),
            String::new(),
            String::new(),
        ],
    ])
}
