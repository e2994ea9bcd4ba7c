//! What membership costs over real sockets, in one process.

use std::time;

use trefoildyke_kernel as kernel;
use trefoildyke_wire::peer;

use crate::{
    measure::{self, table},
    member, relay,
};

const LIMIT: time::Duration = time::Duration::from_secs(60);
const LENGTH: time::Duration = time::Duration::from_secs(20);

/// Measures groups of the given sizes on the loopback address, in real time.
///
/// The bytes are those that pass between the sockets, without TCP's and IP's headers; the processor
/// time includes the relays that count them.
///
/// # Errors
///
/// Fails if a node cannot be started or they do not find one another.
pub fn loopback(sizes: &[usize]) -> anyhow::Result<comfy_table::Table> {
    let mut table = table::new(&[
        "daemons",
        "all found after, s",
        "bytes/s",
        "pieces/s",
        "connections opened/s",
        "processor us/s",
    ]);
    for count in sizes {
        let kernel = kernel::Kernel::builder().start()?;
        let row = kernel.block_on(row(&kernel, *count));
        let faults = kernel.close();
        anyhow::ensure!(faults.is_empty(), "{faults:?}");
        table.add_row(row?);
    }
    Ok(table)
}

async fn row(kernel: &kernel::Kernel, count: usize) -> anyhow::Result<Vec<String>> {
    let started = time::Instant::now();
    let (nodes, relays) = start(kernel, count).await?;
    for node in &nodes {
        let mut views = node.members.subscribe();
        let all = views.wait_for(|view| view.alive().count() == count);
        tokio::time::timeout(LIMIT, all).await??;
    }
    let found = started.elapsed();
    let before = Counts::read(&relays);
    tokio::time::sleep(LENGTH).await;
    let after = Counts::read(&relays);
    let each = |after: u64, before: u64| {
        let rate = (after - before) as f64 / (count as f64 * LENGTH.as_secs_f64());
        format!("{rate:.1}")
    };
    let busy = after.busy.saturating_sub(before.busy).as_micros() as u64;
    Ok(vec![
        count.to_string(),
        format!("{:.1}", found.as_secs_f64()),
        // A byte between two daemons is sent by one and received by the other.
        each(2 * after.bytes, 2 * before.bytes),
        each(2 * after.pieces, 2 * before.pieces),
        each(after.connections, before.connections),
        each(busy, 0),
    ])
}

async fn start(
    kernel: &kernel::Kernel,
    count: usize,
) -> anyhow::Result<(Vec<member::Node>, Vec<relay::Running>)> {
    let keys = peer::Keys::new(&["a key for measurements"])?;
    let mut nodes = Vec::new();
    let mut relays: Vec<relay::Running> = Vec::new();
    for number in 1..=count as u64 {
        let mut start = member::Start::new(number, keys.clone()).await?;
        let relay = relay::serve(start.listener.local_addr()?).await?;
        start.advertise = Some(relay.address());
        start.seeds = relays.iter().take(2).map(relay::Running::address).collect();
        nodes.push(start.start(kernel)?);
        relays.push(relay);
    }
    Ok((nodes, relays))
}

struct Counts {
    bytes: u64,
    pieces: u64,
    connections: u64,
    busy: time::Duration,
}

impl Counts {
    fn read(relays: &[relay::Running]) -> Self {
        Self {
            bytes: relays.iter().map(relay::Running::bytes).sum(),
            pieces: relays.iter().map(relay::Running::pieces).sum(),
            connections: relays.iter().map(relay::Running::connections).sum(),
            busy: measure::process_time(),
        }
    }
}
