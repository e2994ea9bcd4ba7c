//! The state of a gateway, and the slots that it grants.

mod core;
mod peer_requests;
mod queued_request;
mod remote_request;
mod retry_reservation;
mod service;
mod shared;
mod slot;
mod unreported;

pub(crate) use core::{Core, DigestKind};
pub(crate) use queued_request::QueuedRequest;
pub(crate) use remote_request::RemoteRequest;
pub(crate) use retry_reservation::RetryReservation;
pub(crate) use service::{Admission, OutgoingMessage, Reply, Service};
pub(crate) use shared::Shared;
pub(crate) use slot::{SendRecord, Slot};
use unreported::Unreported;
