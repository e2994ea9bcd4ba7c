//! Tests of systems of daemon processes on loopback, one module for each feature.

#![allow(clippy::unwrap_used, reason = "helpers of tests unwrap as tests do")]

mod at_most_once;
mod binary;
mod configuration;
mod control;
mod crashes;
mod disconnect;
mod dispatch_window;
mod end_to_end;
mod endpoints;
mod engine_silence;
mod freeze;
mod harness;
mod kill;
mod membership;
mod misrouted;
mod orphan;
mod refusal_latency;
mod retry_join;
mod service_calls;
mod stop;
