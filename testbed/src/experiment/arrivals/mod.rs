//! Seeded open-loop arrivals.

mod arrival;
mod draw;
mod generate;

pub use arrival::Arrival;
pub use generate::generate;
