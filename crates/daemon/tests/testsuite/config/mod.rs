//! Several configuration services in one process, with one simulated key-value service.

mod follow;
mod nodes;
mod write;
