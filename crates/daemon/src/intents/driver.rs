//! Carries a commit out.

use std::time;

use trefoildyke_decide::intents;

use crate::intents::parts;

const FIRST_PAUSE: time::Duration = time::Duration::from_millis(5);
const LONGEST_PAUSE: time::Duration = time::Duration::from_millis(100);

/// What a commit came to.
pub(super) struct Driven {
    pub(super) ledger: intents::Ledger,
    /// In the order of the rows.
    pub(super) outcomes: Vec<intents::Outcome>,
    /// Whether the ledger knows all that stood when the commit began.
    pub(super) has_read: bool,
}

/// Carries a commit out until it is done or `until` has passed.
///
/// A step that was begun is ended: a write that is given up could still take effect.
pub(super) async fn drive(
    parts: &parts::Parts,
    slot: &intents::Slot,
    mut commit: intents::Commit,
    until: time::Instant,
) -> Driven {
    let mut pause = FIRST_PAUSE;
    loop {
        let step = commit.next(unix_ms());
        if step == intents::Step::Done {
            break;
        }
        let event = parts.carry_out(slot, step).await;
        let refused = event == intents::Event::Refused;
        commit.observe(event);
        if time::Instant::now() >= until {
            break;
        }
        if refused {
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }
    let has_read = commit.has_read();
    let (ledger, outcomes) = commit.finish(unix_ms());
    Driven { ledger, outcomes, has_read }
}

/// Returns the wall clock, in milliseconds since the Unix epoch.
pub(super) fn unix_ms() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
