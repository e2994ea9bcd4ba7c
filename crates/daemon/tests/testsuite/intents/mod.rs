//! Records, several daemons in one process around one key-value stand-in.

mod failures;
mod nodes;
mod retention;
mod settings;
mod write;
