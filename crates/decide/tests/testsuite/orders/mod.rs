//! Tests of orders to engines under a lease.

mod controller;
mod races;
mod simulation;
