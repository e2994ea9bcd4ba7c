//! Orders to engines under a lease.

mod controller;
mod races;
mod world;
