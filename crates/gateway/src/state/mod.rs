//! What a gateway believes, and the places that it hands out.

mod core;
mod service;
mod shared;
mod slot;
mod waiting;

pub(crate) use core::{Core, DigestKind};
pub(crate) use service::{Asked, Service};
pub(crate) use shared::Shared;
pub(crate) use slot::Slot;
pub(crate) use waiting::Waiting;
