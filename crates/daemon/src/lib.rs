//! The services of the daemon.
