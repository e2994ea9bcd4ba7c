//! Statistics of lost goodput, from the log lines of several hosts.

mod line;
mod plot;
mod quantiles;
mod request;
mod statistics;
mod tally;

pub use line::Line;
pub use plot::svg;
pub use quantiles::Quantiles;
pub use request::{Request, Requests};
pub use statistics::{Group, Statistics, statistics};
pub use tally::Tally;
