//! Errors of writes.

use trefoildyke_types::error;

use crate::platform::message;

/// The reason why a write failed, which tells whether it may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WriteError {
    /// The write's condition did not hold; nothing was written.
    #[error("another writer was first; apply the change to the current entry and try again")]
    Conflict(Option<Box<message::Entry>>),
    /// The lease has ended; nothing was written.
    #[error("the lease has ended; ask for a new one")]
    LeaseGone,
    /// No usable answer arrived; the write may have taken effect or may take effect later.
    #[error("the write may or may not have taken effect: {0}; read the key back")]
    Unsure(String),
    /// The service cannot be reached or refused the write for now; nothing was written.
    #[error("the service takes no writes: {0}; try again later")]
    Unavailable(String),
    /// The service rejected the write as invalid; nothing was written.
    #[error("{0}")]
    Invalid(error::Error),
}

impl WriteError {
    /// Returns the failure as the error type that all crates share.
    pub fn error(&self) -> error::Error {
        match self {
            Self::Conflict(current) => {
                let revision = current.as_ref().map_or(0, |entry| entry.revision);
                error::Error::new(error::ErrorKind::Conflict, "another writer was first")
                    .current(revision)
            }
            Self::LeaseGone => error::Error::new(error::ErrorKind::NotFound, "the lease has ended")
                .remedy("ask for a new lease"),
            Self::Unsure(detail) => error::Error::new(error::ErrorKind::Unsure, detail),
            Self::Unavailable(detail) => error::Error::new(error::ErrorKind::Unavailable, detail),
            Self::Invalid(error) => error.clone(),
        }
    }
}
