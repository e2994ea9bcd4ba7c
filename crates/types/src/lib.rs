//! Domain types that every part of trefoildyke shares.
//!
//! The crate holds plain data: no clock, no I/O and no decisions.

pub mod engine;
pub mod error;
pub mod event;
pub mod id;
pub mod request;
pub mod resource;
pub mod time;
