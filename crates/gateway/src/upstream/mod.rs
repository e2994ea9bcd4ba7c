//! Connections to endpoints.

mod connection;
mod pool;
mod send;

pub(crate) use connection::{Connection, classify_error};
pub(crate) use pool::ConnectionPool;
pub(crate) use send::{Answer, SendError, send};
