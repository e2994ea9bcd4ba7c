//! Bounded waits on conditions.

use std::time;

/// The bound of every wait: far above what is needed on a busy machine.
pub(crate) const LONG: time::Duration = time::Duration::from_secs(60);

const PAUSE: time::Duration = time::Duration::from_millis(20);

/// Waits until `check` returns something; panics with `what` after [`LONG`].
pub(crate) async fn until<T>(what: &str, mut check: impl AsyncFnMut() -> Option<T>) -> T {
    let found = async {
        loop {
            if let Some(found) = check().await {
                return found;
            }
            tokio::time::sleep(PAUSE).await;
        }
    };
    match tokio::time::timeout(LONG, found).await {
        Ok(found) => found,
        Err(_) => panic!("waited {LONG:?} in vain: {what}"),
    }
}
