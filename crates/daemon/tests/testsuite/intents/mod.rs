//! Records, several daemons in one process around one key-value stand-in.

mod export;
mod failures;
mod nodes;
mod retention;
mod settings;
mod write;
