//! Errors of orders.

/// The reason why an order is not known to have been carried out.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// Nothing was sent, so the order was not and will not be carried out.
    #[error("nothing was sent to the engine: {0}; check that it runs and is reachable")]
    NotSent(String),
    /// The order was no longer allowed when the connection was open; nothing was sent.
    #[error("the order was too late to be sent; take the lease again")]
    TooLate,
    /// The engine has seen a newer fencing token, so the sender no longer holds the lease.
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
        /// The body of the engine's answer.
        detail: String,
    },
    /// The order was sent; it may have been carried out or may be carried out later.
    #[error("sent, outcome unknown: {0}; wait out the margin before sending another order")]
    Unknown(String),
}
