//! Where the service keeps what it must not lose.

use trefoildyke_decide::orders;

/// The key of the lease; its revision is the fencing token.
pub(super) const HOLDER: &str = "orders/holder";

/// The lowest version of the configuration with which anybody may carry out orders.
pub(super) const VERSION: &str = "orders/version";

/// What the keys of ended orders start with.
pub(super) const ENDED: &str = "orders/ended/";

pub(super) fn ended(key: &orders::OrderKey) -> String {
    format!("{ENDED}{key}")
}
