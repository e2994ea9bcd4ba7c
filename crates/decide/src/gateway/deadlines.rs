//! Telling callers that come back from those that come for the first time.

use std::{collections, time};

/// A caller with less than this part of the longest deadline of its route has been refused before.
///
/// Callers' own deadlines differ by up to a seventh; one that was refused has waited, and stayed away
/// for a quarter of what was left. A limit close to 1 took two thirds of the callers of a grown site
/// for returning ones: they counted as late on arrival and waited behind nobody, until their patience
/// ended.
const RETURNING_PART: f64 = 0.8;

/// Follows the deadlines that callers declare, by route.
#[derive(Clone, Debug, Default)]
pub struct Deadlines {
    longest: collections::HashMap<String, time::Duration>,
}

impl Deadlines {
    /// Returns how much of its time a caller has spent on a refusal that still waits for `waits`;
    /// zero for one that comes for the first time.
    pub fn spent(&mut self, route: &str, waits: time::Duration) -> time::Duration {
        let Some(longest) = self.longest.get_mut(route) else {
            self.longest.insert(route.to_owned(), waits);
            return time::Duration::ZERO;
        };
        *longest = waits.max(*longest);
        if waits < longest.mul_f64(RETURNING_PART) {
            *longest - waits
        } else {
            time::Duration::ZERO
        }
    }
}
