//! Membership and connections between nodes in one process.

mod connections;
mod nodes;
mod views;
