//! A gateway for opaque requests.
//!
//! A [`Gateway`] listens for callers, finds the route and the client account of each request, lets
//! it wait for a free slot of an endpoint and passes it on byte by byte. What it believes, it is
//! told through a [`Feed`]: the configuration, the endpoints and the other daemons. Decisions are
//! in `trefoildyke_decide::gateway`; this crate carries them out.

mod charging;
mod clock;
mod exchange;
mod face;
mod feed;
mod gateway;
mod listen;
mod metrics;
mod names;
mod placing;
mod quarantine;
mod query;
mod record;
mod relay;
mod replies;
mod rollouts;
mod settings;
mod state;
mod upstream;

pub use clock::Clock;
pub use feed::Feed;
pub use gateway::Gateway;
pub use names::HeaderNames;
pub use query::Readers;
pub use record::{Asked, Dropped, Event, Journal, Tried};
pub use settings::{Listen, Settings};
