//! What a gateway believes, and the places that it hands out.

mod asking;
mod asks;
mod core;
mod paid_repeat;
mod service;
mod shared;
mod slot;
mod untold;
mod waiting;

pub(crate) use asking::Asking;
pub(crate) use core::{Core, DigestKind};
pub(crate) use paid_repeat::PaidRepeat;
pub(crate) use service::{Letter, Reply, Service, Verdict};
pub(crate) use shared::Shared;
pub(crate) use slot::Slot;
use untold::Untold;
pub(crate) use waiting::Waiting;
