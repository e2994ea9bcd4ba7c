//! The coordinator's decisions.

mod admit;
mod fixture;
mod request_state;
