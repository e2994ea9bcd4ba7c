//! The daemon's micro-kernel: a service registry, task scopes and signal handling.
//!
//! A [`Kernel`] owns two runtimes: one thread for control state and several for traffic. Services
//! spawn their tasks on them through a [`Scope`], which joins all its tasks when it is closed, and find
//! each other by name in the [`Registry`].

mod control;
mod counter;
mod error;
mod fault;
mod gate;
mod kernel;
mod registry;
mod scope;
mod signals;

pub use counter::{ClosableCounter, SharedWord};
pub use error::Error;
pub use fault::Fault;
pub use gate::{Gate, Pass};
pub use kernel::{Builder, Kernel};
pub use registry::Registry;
pub use scope::Scope;
