//! The daemon's settings, read from one YAML file. Unknown keys and values out of range are errors.

mod callers;
mod check;
mod coordinate;
mod error;
mod file;
mod listen;
mod logs;
mod operators;
mod peers;
mod platform;
mod secret;

pub use callers::Callers;
pub use coordinate::Coordinate;
pub use error::Error;
pub use file::Settings;
pub use listen::Listen;
pub use logs::Logs;
pub use operators::Operators;
pub use peers::Peers;
pub use platform::Platform;
pub use secret::Secret;
