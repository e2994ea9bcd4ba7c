//! Keys in the key-value service.

use trefoildyke_decide::orders;

/// The key of the lease; its revision is the fencing token.
pub(super) const HOLDER: &str = "orders/holder";

/// The lowest version of the configuration with which a daemon may carry out orders.
pub(super) const VERSION: &str = "orders/version";

/// The prefix of the keys of ended orders.
pub(super) const ENDED: &str = "orders/ended/";

pub(super) fn ended(key: &orders::OrderKey) -> String {
    format!("{ENDED}{key}")
}
