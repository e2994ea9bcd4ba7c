//! A TCP relay that delays, cuts or silences what passes through it.

mod copy;
mod flow;
mod running;

pub use flow::{Direction, Flow};
pub use running::{Running, serve, serve_later};
