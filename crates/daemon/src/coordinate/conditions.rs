//! The conditions under which a daemon decides on the admission of a request.

use trefoildyke_decide::coordinate;

use crate::coordinate::{entry, handle};

impl handle::Context {
    /// Returns the current conditions; `local` is the request with the same key at this daemon, if any.
    pub(super) fn conditions(
        &self,
        local: Option<&entry::Entry>,
        stopping: bool,
    ) -> coordinate::Conditions {
        let retention = self.intents.layout().retention;
        coordinate::Conditions {
            own: self.peer_calls.own,
            unix_ms: self.clock.now().unix_ms,
            service: self.intents.service_state(),
            isolated: self.isolation.is_isolated(),
            stopping,
            policy: self.settings.outage,
            retention_ms: retention.keep_ms,
            skew_ms: retention.skew_ms,
            local: local.map(|entry| coordinate::LocalRequest { fingerprint: entry.fingerprint }),
        }
    }

    /// Returns how long after its creation an identifier can be used, in milliseconds.
    ///
    /// All daemons use the same value.
    pub(super) fn retention_ms(&self) -> u64 {
        self.intents.layout().retention.keep_ms
    }
}
