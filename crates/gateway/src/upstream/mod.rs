//! Connections to endpoints.

mod answer_memory;
mod connection;
mod dial;
mod framing;
mod framing_limit;
mod notices;
mod pool;
mod reset_watch;
mod send;

pub(crate) use answer_memory::{AnswerMemory, AnswerReservation, BufferError};
use connection::MAX_HEAD;
pub(crate) use connection::{Connection, classify_error, configure, connect, next_part};
pub(crate) use framing_limit::AnswerBody;
pub(crate) use notices::Notices;
pub(crate) use pool::ConnectionPool;
pub(crate) use reset_watch::{LONG_REQUEST, watch_for_reset};
pub(crate) use send::{Answer, SendError, send};
