//! Where goodput is lost, from the log lines of many hosts.

mod figures;
mod line;
mod plot;
mod quantiles;
mod request;
mod tally;

pub use figures::{Figures, Group, figures};
pub use line::Line;
pub use plot::svg;
pub use quantiles::Quantiles;
pub use request::{Request, Requests};
pub use tally::Tally;
