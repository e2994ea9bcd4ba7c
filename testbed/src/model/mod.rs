//! A pure model of a continuously batching engine in virtual time.
//!
//! The model holds no clock and does no I/O: experiments drive it through virtual time and the
//! engine stand-in through real time. See [`Engine`].

mod cache;
mod engine;
mod event;
mod job;
mod ledger;
mod mode;
mod outbox;
mod params;
mod reports;
mod stream;

pub use cache::PrefixCache;
pub use engine::Engine;
pub use event::ModelEvent;
pub use job::Job;
pub use ledger::{Ledger, Totals};
pub use mode::Mode;
pub use params::{GENERATION_SPEEDS, Params};
pub use reports::Reports;
