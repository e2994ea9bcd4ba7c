//! Writes and waiting against the batch window, the number of buckets and the rate.

use std::time;

use trefoildyke_daemon::intents;

use crate::measure::intents::{cluster, load};
use crate::measure::table;

const DAEMONS: u64 = 8;
const LENGTH: time::Duration = time::Duration::from_secs(3);

/// Returns a table of what recording costs for each window, bucket count and rate.
///
/// # Errors
///
/// Fails if the stand-in or a daemon cannot be started.
pub fn window(
    windows: &[u64],
    buckets: &[u32],
    rates: &[f64],
    seed: u64,
) -> anyhow::Result<comfy_table::Table> {
    let mut table = table::new(&[
        "requests/s",
        "buckets",
        "window ms",
        "writes/s",
        "writes/s per 100 requests/s",
        "records a write",
        "conflicts",
        "failed",
        "bytes written a record",
        "p50 ms",
        "p99 ms",
        "calls between daemons/s",
    ]);
    for &rate in rates {
        for &buckets in buckets {
            for &window_ms in windows {
                let settings = intents::Settings {
                    buckets,
                    window_ms,
                    writes_per_s: u32::MAX,
                    ..intents::Settings::default()
                };
                table.add_row(row(settings, rate, seed)?);
            }
        }
    }
    Ok(table)
}

fn row(settings: intents::Settings, rate: f64, seed: u64) -> anyhow::Result<Vec<String>> {
    let kv_runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let row = runtime.block_on(measure(kv_runtime.handle(), settings, rate, seed));
    kv_runtime.shutdown_timeout(time::Duration::from_secs(5));
    row
}

async fn measure(
    kv_runtime: &tokio::runtime::Handle,
    settings: intents::Settings,
    rate: f64,
    seed: u64,
) -> anyhow::Result<Vec<String>> {
    let cluster = cluster::Cluster::start(kv_runtime, DAEMONS, settings).await?;
    // The layout is agreed before the clock starts.
    cluster.handles[0].record(&load::key(), &load::record(1)).await;
    let before = cluster.kv.stats();
    let taken = load::run(&cluster.handles, rate, LENGTH, seed).await?;
    let after = cluster.kv.stats();
    let counts: Vec<_> = cluster.handles.iter().map(intents::Handle::stats).collect();
    let conflicts: u64 = counts.iter().map(|counts| counts.conflicts).sum();
    let calls: u64 = counts.iter().map(|counts| counts.calls).sum();
    cluster.stop().await;
    let records = taken.created.len() as f64;
    let writes = (after.writes - before.writes) as f64;
    let seconds = LENGTH.as_secs_f64();
    let bytes = (after.written_bytes - before.written_bytes) as f64;
    let millis = |quantile| taken.created.value_at_quantile(quantile) as f64 / 1000.0;
    Ok(vec![
        format!("{rate:.0}"),
        settings.buckets.to_string(),
        settings.window_ms.to_string(),
        format!("{:.0}", writes / seconds),
        format!("{:.1}", writes / records * 100.0),
        format!("{:.1}", records / writes),
        conflicts.to_string(),
        taken.failed.to_string(),
        format!("{:.0}", bytes / records),
        format!("{:.1}", millis(0.5)),
        format!("{:.1}", millis(0.99)),
        format!("{:.0}", calls as f64 / seconds),
    ])
}
