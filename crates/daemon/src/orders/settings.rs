//! Settings of the order service.

use std::time;

use trefoildyke_decide::orders;
use trefoildyke_types::error;

/// Settings of the order service, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The time to live of the lease without renewal; at least twice `guard_ms + settle_ms`.
    pub ttl_ms: u64,
    /// How long before the end of the lease its holder stops sending.
    pub guard_ms: u64,
    /// How long an order can still take effect after it was written; at least `order_ms`.
    pub settle_ms: u64,
    /// How long a new holder waits before it sends an order to an engine that does not check fencing
    /// tokens.
    pub margin_ms: u64,
    /// How long to wait before a retry after a failure; at least 1.
    pub retry_ms: u64,
    /// The timeout of an order at an engine.
    pub order_ms: u64,
}

impl Settings {
    /// Checks the settings; fails with kind `Invalid` if the times are inconsistent.
    pub fn check(&self) -> Result<(), error::Error> {
        let invalid =
            |field, message| Err(error::Error::new(error::ErrorKind::Invalid, message).at(field));
        if self.ttl_ms < 2 * (self.guard_ms + self.settle_ms) {
            return invalid("orders.ttl_ms", "is less than twice guard_ms + settle_ms");
        }
        if self.settle_ms < self.order_ms {
            return invalid("orders.settle_ms", "is less than order_ms");
        }
        if self.retry_ms == 0 {
            return invalid("orders.retry_ms", "is 0");
        }
        Ok(())
    }

    pub(super) fn params(&self) -> orders::Params {
        let millis = time::Duration::from_millis;
        orders::Params {
            ttl: millis(self.ttl_ms),
            clock_margin: millis(self.guard_ms),
            settle_time: millis(self.settle_ms),
            takeover_delay: millis(self.margin_ms),
            retry: millis(self.retry_ms),
            ..Default::default()
        }
    }

    pub(super) const fn order_time(&self) -> time::Duration {
        time::Duration::from_millis(self.order_ms)
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ttl_ms: 15_000,
            guard_ms: 2_000,
            settle_ms: 5_000,
            margin_ms: 5_000,
            retry_ms: 1_000,
            order_ms: 4_000,
        }
    }
}
