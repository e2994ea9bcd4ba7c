//! The daemon's micro-kernel: named services, joined tasks, signals.
//!
//! A [`Kernel`] owns two runtimes: one thread for control state and several for traffic. Services
//! are started on them through a [`Scope`], which joins everything that was spawned, and find each
//! other by name in the [`Registry`].

mod control;
mod count;
mod error;
mod fault;
mod gate;
mod kernel;
mod registry;
mod scope;
mod signals;

pub use count::{Count, Word};
pub use error::Error;
pub use fault::Fault;
pub use gate::{Gate, Pass};
pub use kernel::{Builder, Kernel};
pub use registry::Registry;
pub use scope::Scope;
