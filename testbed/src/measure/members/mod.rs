//! What membership costs and how fast it is, against the number of members.

mod connection;
mod cost;
mod failure;
mod loopback;
mod spread;

pub use connection::connection;
pub use cost::cost;
pub use failure::failure;
pub use loopback::loopback;
pub use spread::spread;
