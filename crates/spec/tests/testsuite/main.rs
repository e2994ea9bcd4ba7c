//! Tests that explore the models of the specification exhaustively.

#![allow(clippy::unwrap_used, reason = "helpers of tests unwrap as tests do")]

mod answers;
mod attempts;
mod commits;
mod configuration;
mod keys;
mod orders;
mod passed_keys;
mod requests;
mod rollouts;
mod stops;
mod verdict;
