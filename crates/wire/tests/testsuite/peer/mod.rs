//! Tests of peer connections: the handshake, calls, limits and silence.

mod calls;
mod handshake;
mod harness;
mod silence;
