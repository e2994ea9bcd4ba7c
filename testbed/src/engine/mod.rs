//! A stand-in for a model engine: the engine model in real time behind the engines' protocol.

mod answer;
mod core;
mod ledger_report;
mod mode;
mod orders;
mod running;
mod settings;
mod shared;
mod tokens;

pub use ledger_report::{CarriedOrder, LedgerReport};
pub use mode::{Mode, ModeKind};
pub use running::{Running, serve};
pub use settings::Settings;
pub use tokens::token;
