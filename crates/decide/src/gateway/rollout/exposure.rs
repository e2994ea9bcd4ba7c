//! How many requests a version gets that is tried.

use std::collections;

/// Counts the requests that this daemon has placed since a version is tried, and how many of them it got.
///
/// Each daemon keeps to the part by its own requests alone, so that the sum over all daemons does as well, whoever places
/// and whatever is forgotten at a start. No word between daemons is needed.
///
/// Invariant: the version got at most the part of what was placed here.
#[derive(Clone, Debug, Default)]
pub struct Exposure {
    sum: Counts,
    routes: collections::HashMap<u32, Counts>,
    /// Routes of which the version got nothing yet.
    untried: usize,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    placed: u64,
    tried: u64,
}

impl Exposure {
    /// Says whether a request of a route may go to the version: its part allows one more, and the route has not had more
    /// than its own part. Room for one more is left for routes that it has not met, so that rare ones meet it early.
    pub fn allows(&self, route: u32, share: f64) -> bool {
        let counts = self.routes.get(&route).copied().unwrap_or_default();
        let left = if self.untried > 0 && counts.tried > 0 { -1.0 } else { 0.0 };
        self.sum.has_room(share, left) && counts.has_room(share, 1.0)
    }

    /// Counts a request that was placed.
    pub fn note(&mut self, route: u32, is_tried: bool) {
        let counts = self.routes.entry(route).or_default();
        self.untried += usize::from(counts.placed == 0);
        self.untried -= usize::from(counts.tried == 0 && is_tried);
        for counts in [&mut self.sum, counts] {
            counts.placed += 1;
            counts.tried += u64::from(is_tried);
        }
    }

    /// Returns how many requests were placed, and how many of them the version got.
    pub const fn counts(&self) -> (u64, u64) {
        (self.sum.placed, self.sum.tried)
    }
}

impl Counts {
    fn has_room(self, share: f64, besides: f64) -> bool {
        (self.tried + 1) as f64 <= (self.placed + 1) as f64 * share + besides
    }
}
