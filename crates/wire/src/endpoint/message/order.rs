//! `POST /v1/orders`

use trefoildyke_types::resource;

/// Tells an engine to do something, under a fencing token.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// The order's name; the same in every attempt to carry it out.
    pub order: String,
    /// The fencing token: the revision at which the sender's lease was taken.
    pub fence: u64,
    /// What to do.
    pub action: resource::OrderAction,
}
