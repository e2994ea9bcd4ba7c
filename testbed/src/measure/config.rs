//! What the configuration costs by its size.

use std::time;

use trefoildyke_decide::config::{self, storage};
use trefoildyke_types::{id, resource};

use crate::measure::{self, table};

/// Changes that are timed; enough for several folds of the root.
const CHANGES: u64 = 600;
const CLASSES: [&str; 3] = ["determination", "summary", "status"];

/// Measures configurations with the given numbers of client accounts.
///
/// # Errors
///
/// Fails if a generated resource is refused, which would be a fault of this tool.
pub fn cost(accounts: &[usize]) -> anyhow::Result<comfy_table::Table> {
    let mut table = table::new(&[
        "client accounts",
        "stored KiB",
        "memory KiB",
        "ms a change",
        "kv writes a change",
        "KiB written a change",
        "ms to read all",
    ]);
    // Kept to the end, so that memory is never reused and its growth can be read off.
    let mut snapshots = Vec::new();
    for count in accounts {
        let before = measure::resident_bytes();
        let snapshot = snapshot(*count);
        let memory = measure::resident_bytes().saturating_sub(before);
        table.add_row(row(&snapshot, *count, memory)?);
        snapshots.push(snapshot);
    }
    Ok(table)
}

/// Holds what a run of changes wrote.
#[derive(Default)]
struct Written {
    writes: usize,
    bytes: usize,
}

fn row(snapshot: &config::Snapshot, accounts: usize, memory: u64) -> anyhow::Result<Vec<String>> {
    let mut plan = storage::restore(&storage::Root::default(), snapshot, id::Nonce(0))?;
    let mut values: Vec<String> = plan.chunks.iter().map(|chunk| chunk.value.clone()).collect();
    let mut written = Written::default();
    let start = time::Instant::now();
    for number in 0..CHANGES {
        let set = config::ChangeSet::put(replacement(&plan.snapshot, accounts, number)?);
        plan = storage::plan(&plan.root, &plan.snapshot, &set, id::Nonce(number + 1))?;
        written.writes += plan.chunks.len() + 1;
        written.bytes += plan.root.to_text()?.len();
        written.bytes += plan.chunks.iter().map(|chunk| chunk.value.len()).sum::<usize>();
        if !plan.chunks.is_empty() {
            values = plan.chunks.iter().map(|chunk| chunk.value.clone()).collect();
        }
    }
    let busy = start.elapsed();
    let start = time::Instant::now();
    let read = plan.root.rebuild(&values)?;
    let reading = start.elapsed();
    anyhow::ensure!(read.version() == plan.snapshot.version(), "the stored copy is not the last");
    let stored = values.iter().map(String::len).sum::<usize>() + plan.root.to_text()?.len();
    Ok(vec![
        accounts.to_string(),
        (stored >> 10).to_string(),
        (memory >> 10).to_string(),
        format!("{:.2}", busy.as_secs_f64() * 1e3 / CHANGES as f64),
        format!("{:.2}", written.writes as f64 / CHANGES as f64),
        format!("{:.0}", written.bytes as f64 / 1024.0 / CHANGES as f64),
        format!("{:.1}", reading.as_secs_f64() * 1e3),
    ])
}

fn snapshot(accounts: usize) -> config::Snapshot {
    let tiers = CLASSES.iter().zip(0..).map(|(class, rank)| resource::Resource {
        name: (*class).to_owned(),
        spec: resource::Spec::Tier(resource::TierSpec { rank, deadline_ms: 30_000 }),
        generation: 1,
        resource_version: 1,
        status: None,
    });
    let accounts = (0..accounts).map(account);
    config::Snapshot::from_resources(1, tiers.chain(accounts).collect())
}

fn account(number: usize) -> resource::Resource {
    let classes = CLASSES.iter().map(|class| ((*class).to_owned(), (*class).into()));
    let spec = resource::ClientAccountSpec {
        key_hashes: vec![format!("{number:064x}")],
        classes: classes.collect(),
        weight: 1,
        max_waiting: Some(1_000),
    };
    resource::Resource {
        name: format!("account-{number:05}"),
        spec: resource::Spec::ClientAccount(spec),
        generation: 1,
        resource_version: 1,
        status: None,
    }
}

/// Returns an account with another weight.
fn replacement(
    snapshot: &config::Snapshot,
    accounts: usize,
    number: u64,
) -> anyhow::Result<resource::Resource> {
    let name = format!("account-{:05}", number as usize * 7 % accounts);
    let found = snapshot.resource(resource::Kind::ClientAccount, &name);
    let mut next = found.ok_or_else(|| anyhow::anyhow!("{name} is missing"))?.clone();
    if let resource::Spec::ClientAccount(spec) = &mut next.spec {
        spec.weight += 1;
    }
    Ok(next)
}
