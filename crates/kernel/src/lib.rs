//! The daemon's micro-kernel: named services, joined tasks, signals.
