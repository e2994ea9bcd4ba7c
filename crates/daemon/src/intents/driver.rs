//! The driver that executes the steps of a commit.

use std::time;

use trefoildyke_decide::intents;

use crate::intents::parts;

const INITIAL_BACKOFF: time::Duration = time::Duration::from_millis(5);
const MAX_BACKOFF: time::Duration = time::Duration::from_millis(100);

/// The result of a commit.
pub(super) struct CommitResult {
    pub(super) cache: intents::SlotCache,
    /// The outcome of each row, in the order of the rows.
    pub(super) outcomes: Vec<intents::Outcome>,
    /// Whether the cache contains every record that existed when the commit started.
    pub(super) is_read_done: bool,
}

/// Executes the steps of a commit until it is done or `deadline` has passed.
///
/// A started step is always completed, because an abandoned write could still take effect.
pub(super) async fn drive(
    part_store: &parts::PartStore,
    slot: &intents::Slot,
    mut commit: intents::Commit,
    deadline: time::Instant,
) -> CommitResult {
    let mut backoff = INITIAL_BACKOFF;
    loop {
        let step = commit.next(unix_ms());
        if step == intents::Step::Done {
            break;
        }
        let result = part_store.execute(slot, step).await;
        let refused = result == intents::StepResult::Refused;
        commit.observe(result);
        if time::Instant::now() >= deadline {
            break;
        }
        if refused {
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }
    let is_read_done = commit.is_read_done();
    let (cache, outcomes) = commit.finish(unix_ms());
    CommitResult { cache, outcomes, is_read_done }
}

/// Returns the wall-clock time, in milliseconds since the Unix epoch.
pub(super) fn unix_ms() -> u64 {
    let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
