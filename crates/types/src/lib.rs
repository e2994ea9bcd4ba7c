//! Domain types shared by all crates of trefoildyke.
//!
//! The crate contains plain data only: it reads no clock, does no I/O and makes no decisions.

pub mod engine;
pub mod error;
pub mod event;
pub mod id;
pub mod request;
pub mod resource;
pub mod time;
