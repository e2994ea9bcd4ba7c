//! Connections to endpoints.

mod connection;
mod dial;
mod pool;
mod send;

pub(crate) use connection::{Connection, classify_error, configure, connect, next_part};
pub(crate) use pool::ConnectionPool;
pub(crate) use send::{Answer, SendError, send};
