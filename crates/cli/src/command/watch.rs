//! `watch`: shows changes as they happen.

use std::time;

use trefoildyke_wire::operators;

use crate::{context::Context, failure::Failure, options, output};

/// The longest wait of one call, in milliseconds.
const WAIT_MS: u64 = 10_000;

/// Shows each accepted change, and each increase of the version that is in force or settled everywhere.
pub(crate) async fn execute(
    watch: &options::Watch,
    context: &mut Context<'_>,
) -> Result<(), Failure> {
    let end = match watch.end_after {
        0 => None,
        seconds => Some(time::Instant::now() + time::Duration::from_secs(seconds)),
    };
    let mut next = operators::Watch {
        after: watch.after,
        in_force: Some(watch.after),
        settled: Some(watch.after),
        wait_ms: 0,
    };
    loop {
        let left = end.map(|end| end.saturating_duration_since(time::Instant::now()));
        if left.is_some_and(|left| left.is_zero()) {
            return Ok(());
        }
        let watched = context.client.watch(&next).await?;
        let has_changes = !watched.resources.is_empty()
            || next.in_force.is_some_and(|seen| watched.in_force > seen)
            || next.settled.is_some_and(|seen| watched.settled > seen);
        if has_changes {
            context.show(&watched, table)?;
            context.out.flush()?;
        }
        let left_ms = left.and_then(|left| u64::try_from(left.as_millis()).ok());
        next = operators::Watch {
            after: watched.version.max(next.after),
            in_force: next.in_force.max(Some(watched.in_force)),
            settled: next.settled.max(Some(watched.settled)),
            wait_ms: left_ms.map_or(WAIT_MS, |left| left.clamp(1, WAIT_MS)),
        };
    }
}

fn table(watched: &operators::message::Watched) -> output::Table {
    if !watched.resources.is_empty() {
        return output::resources(&watched.resources);
    }
    let mut table = output::Table::new(&["VERSION", "IN FORCE", "STOPS ENDED"]);
    table.add_row(&[
        watched.version.to_string(),
        watched.in_force.to_string(),
        watched.settled.to_string(),
    ]);
    table
}
