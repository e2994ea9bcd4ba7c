//! A gateway for opaque requests.
//!
//! A [`Gateway`] listens for callers, finds the route and the client account of each request, queues the
//! request until a slot of an endpoint is free and forwards it byte by byte. A [`Feed`] gives it the
//! configuration, the endpoints and the other daemons. The decision logic is in
//! `trefoildyke_decide::gateway`; this crate does the I/O.

mod charging;
mod clock;
mod config_transfer;
mod entries;
mod feed;
mod gateway;
mod gossip;
mod ingress;
mod metrics;
mod monitoring;
mod names;
mod part_quarantine;
mod pending_replies;
mod placing;
mod quarantine;
mod query;
mod record;
mod relay;
mod rollouts;
mod settings;
mod state;
mod streams;
mod tunnel;
mod upstream;

pub use clock::Clock;
pub use feed::Feed;
pub use gateway::Gateway;
pub use names::HeaderNames;
pub use query::ReaderStatus;
pub use record::{
    ConfigRead, DropCounter, EndedBy, Event, Journal, Outcome, RequestInputs, TrialStats,
};
pub use settings::{Listen, Settings};
