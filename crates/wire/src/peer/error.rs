//! Errors of peer connections.

use std::{io, net};

use trefoildyke_types::{error, id};

/// The reason why a peer connection could not be opened or has ended.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The TCP connection to the address failed.
    #[error(
        "cannot connect to peer {address}: {source}; check that its daemon runs and listens there"
    )]
    Connect {
        /// The peer's address.
        address: net::SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The handshake took too long.
    #[error(
        "the peer handshake took too long; the peer is overloaded or the path is cut, try again"
    )]
    HandshakeTimeout,
    /// The HTTP part of the handshake failed.
    #[error("the peer handshake failed: {0}; check that the address is a daemon's peer address")]
    Handshake(String),
    /// The other side did not prove that it holds a shared key.
    #[error(
        "the peer does not prove the shared key; give both daemons a common key in `peer.keys`"
    )]
    WrongKey,
    /// The address belongs to another incarnation of a daemon.
    #[error("the peer is incarnation {found}, not {expected}; use the current member view")]
    WrongIncarnation {
        /// The requested incarnation.
        expected: id::Incarnation,
        /// The incarnation that answered.
        found: id::Incarnation,
    },
    /// Nothing was received for too long, or a frame could not be sent in time.
    #[error("the peer connection went silent; open a new one")]
    Silent,
    /// The other side closed the connection.
    #[error("the peer closed the connection; open a new one")]
    Closed,
    /// The connection failed.
    #[error("the peer connection failed: {0}; open a new one")]
    Io(#[from] io::Error),
    /// A frame was too large or could not be encoded or decoded.
    #[error(
        "the peer sent or was sent a frame of the wrong form: {0}; check that both daemons run compatible versions"
    )]
    Frame(String),
    /// No key is configured, or a key is too short.
    #[error("no shared key is set; list at least one key of 16 bytes or more in `peer.keys`")]
    NoKey,
}

impl From<hyper::Error> for Error {
    fn from(source: hyper::Error) -> Self {
        Self::Handshake(source.to_string())
    }
}

impl From<Error> for error::Error {
    fn from(source: Error) -> Self {
        let kind = match source {
            Error::WrongKey => error::ErrorKind::Unauthorized,
            Error::NoKey => error::ErrorKind::Invalid,
            Error::Frame(_) | Error::Handshake(_) => error::ErrorKind::Protocol,
            _ => error::ErrorKind::Unavailable,
        };
        Self::new(kind, source.to_string())
    }
}
