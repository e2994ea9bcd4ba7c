//! What one owner spends against the rate of its records.

use std::time;

use trefoildyke_daemon::intents;

use crate::measure::intents::{cluster, load};
use crate::measure::{self, table};

const LENGTH: time::Duration = time::Duration::from_secs(3);

/// Returns a table of what one daemon spends that owns one bucket, for each rate of records.
///
/// # Errors
///
/// Fails if the stand-in or the daemon cannot be started.
pub fn owner(rates: &[f64], part_bytes: &[usize], seed: u64) -> anyhow::Result<comfy_table::Table> {
    let mut table = table::new(&[
        "records/s",
        "part bytes",
        "processor us a record",
        "of a core",
        "writes/s",
        "bytes written a record",
        "p99 ms",
        "failed",
    ]);
    for &rate in rates {
        for &part_bytes in part_bytes {
            table.add_row(row(rate, part_bytes, seed)?);
        }
    }
    Ok(table)
}

fn row(rate: f64, part_bytes: usize, seed: u64) -> anyhow::Result<Vec<String>> {
    let settings = intents::Settings { buckets: 1, part_bytes, ..intents::Settings::default() };
    let kv_runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let row = runtime.block_on(async {
        let cluster = cluster::Cluster::start(kv_runtime.handle(), 1, settings).await?;
        cluster.handles[0].record(&load::key(), &load::record(1)).await;
        let (busy, before) = (measure::busy_time(), cluster.kv.stats());
        let taken = load::run(&cluster.handles, rate, LENGTH, seed).await?;
        let (busy, after) = (measure::busy_time() - busy, cluster.kv.stats());
        cluster.stop().await;
        let records = taken.created.len() as f64;
        let bytes = (after.written_bytes - before.written_bytes) as f64;
        let writes = (after.writes - before.writes) as f64;
        Ok(vec![
            format!("{rate:.0}"),
            part_bytes.to_string(),
            format!("{:.0}", busy.as_secs_f64() * 1e6 / records),
            format!("{:.1}%", busy.as_secs_f64() / LENGTH.as_secs_f64() * 100.0),
            format!("{:.0}", writes / LENGTH.as_secs_f64()),
            format!("{:.0}", bytes / records),
            format!("{:.1}", taken.created.value_at_quantile(0.99) as f64 / 1000.0),
            taken.failed.to_string(),
        ])
    });
    kv_runtime.shutdown_timeout(time::Duration::from_secs(5));
    row
}
