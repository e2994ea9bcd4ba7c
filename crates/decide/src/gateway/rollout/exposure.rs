//! The share of the requests that a canary version gets.

use std::collections;

/// Counts the requests that this daemon has placed since the canary started, and those placed at
/// the canary version.
///
/// Each daemon limits the share by its own requests alone. The share therefore also holds for the
/// sum over all daemons, whichever daemon places requests and whatever is lost in a restart, and
/// the daemons need not exchange messages.
///
/// Invariant: the canary version got at most its share of the requests placed here.
#[derive(Clone, Debug, Default)]
pub struct Exposure {
    total: Counts,
    routes: collections::HashMap<u32, Counts>,
    /// The number of routes of which the canary version has not got a request.
    untried_routes: usize,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    placed: u64,
    canary: u64,
}

impl Exposure {
    /// Returns whether a request of a route may go to the canary version.
    ///
    /// It may if the share allows one more request, and if the route has not had more than its own
    /// share. Room for one more request is reserved for routes of which the canary version has not
    /// got a request, so that rare routes are tried early.
    pub fn allows(&self, route: u32, share: f64) -> bool {
        let counts = self.routes.get(&route).copied().unwrap_or_default();
        let extra = if self.untried_routes > 0 && counts.canary > 0 { -1.0 } else { 0.0 };
        self.total.has_room(share, extra) && counts.has_room(share, 1.0)
    }

    /// Counts a placed request.
    pub fn note(&mut self, route: u32, is_canary: bool) {
        let counts = self.routes.entry(route).or_default();
        self.untried_routes += usize::from(counts.placed == 0);
        self.untried_routes -= usize::from(counts.canary == 0 && is_canary);
        for counts in [&mut self.total, counts] {
            counts.placed += 1;
            counts.canary += u64::from(is_canary);
        }
    }

    /// Returns the number of placed requests, and the number of those that the canary version got.
    pub const fn counts(&self) -> (u64, u64) {
        (self.total.placed, self.total.canary)
    }
}

impl Counts {
    fn has_room(self, share: f64, extra: f64) -> bool {
        (self.canary + 1) as f64 <= (self.placed + 1) as f64 * share + extra
    }
}
