//! Errors of HTTP calls.

use trefoildyke_types::error;

/// The reason why a call failed, which tells what the other side may have done.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// Nothing was sent, so the other side has not received the call.
    #[error("no connection: {0}; check that the other side runs and is reachable")]
    NotSent(String),
    /// The call may have been carried out, but no complete answer arrived.
    #[error("no answer: {0}; find out whether the call took effect before repeating it")]
    Lost(String),
    /// The answer violates the protocol or exceeds a limit.
    #[error("unusable answer: {0}; check that both sides run compatible versions")]
    Unusable(String),
}

impl CallError {
    /// Returns the error for a call that changes nothing and can therefore be repeated safely.
    pub fn as_read_error(&self) -> error::Error {
        let kind = match self {
            Self::NotSent(_) | Self::Lost(_) => error::ErrorKind::Unavailable,
            Self::Unusable(_) => error::ErrorKind::Protocol,
        };
        error::Error::new(kind, self.detail())
    }

    /// Returns the error for a call that may have changed something.
    pub fn as_write_error(&self) -> error::Error {
        let kind = match self {
            Self::NotSent(_) => error::ErrorKind::Unavailable,
            Self::Lost(_) | Self::Unusable(_) => error::ErrorKind::Unsure,
        };
        error::Error::new(kind, self.detail())
    }

    fn detail(&self) -> &str {
        match self {
            Self::NotSent(detail) | Self::Lost(detail) | Self::Unusable(detail) => detail,
        }
    }
}
