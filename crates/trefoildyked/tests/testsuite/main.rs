//! Tests of whole systems of processes on loopback, one module a feature.

#![allow(clippy::unwrap_used, reason = "helpers of tests unwrap as tests do")]

mod binary;
mod configuration;
mod crashes;
mod crossed;
mod cut;
mod endpoints;
mod freeze;
mod harness;
mod kill;
mod letters;
mod members;
mod once;
mod orphan;
mod promptness;
mod rejoin;
mod stop;
mod switches;
mod whole_path;
mod window;
