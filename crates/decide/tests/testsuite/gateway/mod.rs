//! Decisions about opaque requests.

mod attempt;
mod budget;
mod deadlines;
mod disturbances;
mod engines;
mod events;
mod fingerprint;
mod flood;
mod freshness;
mod hubs;
mod links;
mod loads;
mod mesh;
mod patches;
mod pool;
mod prompts;
mod quarantine;
mod quota;
mod rate_limits;
mod reports;
mod rollouts;
mod roster;
mod support;
mod table;
mod version_lag;
