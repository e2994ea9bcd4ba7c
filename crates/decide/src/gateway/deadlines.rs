//! Telling callers that return after a refusal from callers that come for the first time.

use std::{collections, time};

/// A caller whose remaining time is below this fraction of the longest deadline of its route has
/// been refused before.
///
/// The deadlines of first-time callers differ by up to a seventh. A caller that was refused has
/// waited, and then stayed away for a quarter of its remaining time. With a limit close to 1, two
/// thirds of the callers of a site that had grown were taken for returning callers: they counted as
/// late on arrival and were kept waiting, ahead of the other late requests, until they left.
const RETURNING_FRACTION: f64 = 0.8;

/// The longest deadline that callers have declared, by route.
#[derive(Clone, Debug, Default)]
pub struct Deadlines {
    longest: collections::HashMap<String, time::Duration>,
}

impl Deadlines {
    /// Returns how much of its time a caller has already spent, if it still waits for `remaining`;
    /// zero for a caller that comes for the first time.
    pub fn time_spent(&mut self, route: &str, remaining: time::Duration) -> time::Duration {
        let Some(longest) = self.longest.get_mut(route) else {
            self.longest.insert(route.to_owned(), remaining);
            return time::Duration::ZERO;
        };
        *longest = remaining.max(*longest);
        if remaining < longest.mul_f64(RETURNING_FRACTION) {
            *longest - remaining
        } else {
            time::Duration::ZERO
        }
    }
}
