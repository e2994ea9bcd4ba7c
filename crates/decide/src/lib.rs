//! The decision logic of the daemons, without I/O: state machines that take events and return
//! actions.

pub mod config;
pub mod coordinate;
pub mod endpoints;
pub mod gateway;
pub mod intents;
pub mod members;
pub mod orders;
pub mod schedule;
pub mod stops;
