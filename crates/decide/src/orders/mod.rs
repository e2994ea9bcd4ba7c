//! Orders to engines, carried out by one daemon under a lease and its fencing token.
//!
//! [`Controller`] decides when a daemon acquires the lease, sends orders, stops sending and records
//! their outcomes. It reads no clock and does no I/O. `docs/design/orders.md` describes the design and
//! its alternatives.

mod action;
mod call;
mod controller;
mod held_lease;
mod input;
mod open_order;
mod order;
mod outcome;
mod params;
mod phase;
mod send_result;

pub use action::Action;
pub use controller::Controller;
pub use held_lease::HeldLease;
pub use input::Input;
pub use order::{Order, OrderKey};
pub use outcome::Outcome;
pub use params::Params;
pub use send_result::SendResult;
