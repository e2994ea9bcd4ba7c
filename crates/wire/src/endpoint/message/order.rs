//! The body of `POST /v1/orders`.

use trefoildyke_types::resource;

/// An instruction to an engine, protected by a fencing token.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// The order's name; every attempt to carry the order out uses the same name.
    pub order: String,
    /// The fencing token: the revision at which the sender acquired its lease.
    pub fence: u64,
    /// The action to carry out.
    pub action: resource::OrderAction,
}
