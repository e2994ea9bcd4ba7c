//! Orders to engines, carried out under a lease and its fencing token.
//!
//! [`Controller`] decides when one daemon takes the lease, sends orders, stops and records how they
//! ended. It reads no clock and does no I/O. `docs/design/orders.md` tells which ways were weighed.

mod action;
mod call;
mod controller;
mod holding;
mod input;
mod open;
mod order;
mod outcome;
mod params;
mod phase;
mod send_result;

pub use action::Action;
pub use controller::Controller;
pub use holding::Holding;
pub use input::Input;
pub use order::{Order, OrderKey};
pub use outcome::Outcome;
pub use params::Params;
pub use send_result::SendResult;
