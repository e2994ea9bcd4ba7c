//! Bounded waits for conditions.

use std::time;

/// The time limit of every wait, far above what is needed on a busy machine.
pub(crate) const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(60);

const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Waits until `check` returns a value; panics with `what` after [`WAIT_TIMEOUT`].
pub(crate) async fn wait_until<T>(what: &str, mut check: impl AsyncFnMut() -> Option<T>) -> T {
    let found = async {
        loop {
            if let Some(found) = check().await {
                return found;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    match tokio::time::timeout(WAIT_TIMEOUT, found).await {
        Ok(found) => found,
        Err(_) => panic!("timed out after {WAIT_TIMEOUT:?}: {what}"),
    }
}
