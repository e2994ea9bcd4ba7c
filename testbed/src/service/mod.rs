//! A stand-in for a plain service, some of whose calls may not be repeated.

mod ledger_report;
mod load;
mod running;
mod settings;

pub use ledger_report::LedgerReport;
pub use running::{Running, output, serve};
pub use settings::Settings;
