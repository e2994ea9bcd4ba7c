//! Tests of the stand-ins, the engine model, the experiments and the load tool.

#![allow(clippy::unwrap_used, reason = "a test that cannot go on fails")]

mod demo;
mod engine;
mod experiment;
mod goals;
mod gossip;
mod hosts;
mod kv;
mod load;
mod model;
mod recovery;
mod relay;
mod rollouts;
mod scenario;
mod service;
