//! Stand-ins for the outside systems, a load tool and experiments.

pub mod demo;
pub mod engine;
pub mod experiment;
pub mod gossip;
pub mod hosts;
pub mod kv;
pub mod load;
pub mod measure;
pub mod member;
pub mod model;
pub mod operators;
pub mod recovery;
pub mod relay;
pub mod rollout;
pub mod service;
pub mod switch;
