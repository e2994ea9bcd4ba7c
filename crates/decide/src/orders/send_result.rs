//! The result of sending an order.

/// The result of an attempt to send an order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SendResult {
    /// The engine carried out the order.
    Done,
    /// The engine refused the order for the given reason and did not carry it out.
    Refused(String),
    /// The engine has seen a newer fencing token, so the lease has ended.
    Stale,
    /// Nothing was written.
    NotSent,
    /// The order was written; the engine may have carried it out or may still do so.
    Unknown,
}
