//! How an order can fail.

/// Says why an order was not seen to be carried out.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// Nothing was sent, so the order was not carried out and will not be.
    #[error("nothing was sent to the engine: {0}; check that it runs and is reachable")]
    NotSent(String),
    /// The time for it was over when the connection was open; nothing was sent.
    #[error("the order was too late to be sent; take the lease again")]
    TooLate,
    /// The engine has seen a newer fencing token: this sender's lease is over.
    #[error("the engine has seen fencing token {current}; stop and take the lease again")]
    Stale {
        /// The newest fencing token that the engine has seen.
        current: u64,
    },
    /// The engine refused the order without carrying it out.
    #[error("the engine refused the order with status {status}: {detail}; correct the order")]
    Refused {
        /// The HTTP status, from 400 to 499.
        status: u16,
        /// What the engine says.
        detail: String,
    },
    /// The order was sent; it may have been carried out or may still be.
    #[error("sent, outcome unknown: {0}; wait out the margin before sending another order")]
    Unknown(String),
}
