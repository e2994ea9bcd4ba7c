//! The configuration service, several in one process around one key-value stand-in.

mod follow;
mod nodes;
mod write;
