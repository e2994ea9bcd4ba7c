//! Tests of the decision logic.

#![allow(clippy::unwrap_used, reason = "helpers of tests unwrap as tests do")]

mod config;
mod coordinate;
mod endpoints;
mod gateway;
mod intents;
mod members;
mod orders;
mod schedule_basics;
mod schedule_order;
mod schedule_place;
mod schedule_quarantine;
mod schedule_support;
mod stops;
