//! The side of the callers: connections, admission, and handling of requests.

mod access;
mod body;
mod body_budget;
mod call;
mod caller_connection;
mod connections;
mod driver;
mod head_timer;
mod headers;
mod reply;
mod stop_phases;
mod tracked_body;
mod unread;
mod watched_stream;

pub(crate) use access::AccessLogEntry;
pub(crate) use body::{Aborted, Body, frames, full};
pub(crate) use body_budget::{BodyBudget, BodyError, BodyReservation, KeptBody};
pub(crate) use call::Call;
pub(crate) use caller_connection::CallerConnection;
pub(crate) use connections::{limits, serve};
pub(crate) use driver::{Driver, FailedSend, OpenStream, PendingSend, Received, UNSENT, handle};
pub(crate) use head_timer::{HeadTimer, head_wait};
pub(crate) use headers::{endpoint_request, response_head};
pub(crate) use reply::{QUARANTINED, Reply};
pub(crate) use stop_phases::StopPhases;
pub(crate) use unread::discard_unread;
