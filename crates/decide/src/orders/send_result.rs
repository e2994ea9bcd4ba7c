//! How sending an order ended.

/// Says what is known after an order was to be sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SendResult {
    /// The engine carried it out.
    Done,
    /// The engine refused it without carrying it out, for the reason given.
    Refused(String),
    /// The engine has seen a newer fencing token: the lease is over.
    Stale,
    /// Nothing was written.
    NotSent,
    /// It was written; the engine may have carried it out, or may still do so.
    Unknown,
}
