//! Integration tests of the services.

#![allow(clippy::unwrap_used, reason = "helpers of tests unwrap as tests do")]

mod config;
mod endpoints;
mod examples;
mod intents;
mod limits;
mod members;
mod operators;
mod orders;
mod settings;
mod timeline;
