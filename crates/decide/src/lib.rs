//! Pure decisions: state in, event in, actions out.

pub mod config;
pub mod coordinate;
pub mod endpoints;
pub mod gateway;
pub mod intents;
pub mod members;
pub mod orders;
pub mod schedule;
pub mod stops;
