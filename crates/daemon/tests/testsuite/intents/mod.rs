//! Intent records of several daemons in one process, with one simulated key-value service.

mod export;
mod failures;
mod nodes;
mod retention;
mod settings;
mod write;
