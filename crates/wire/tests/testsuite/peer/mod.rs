//! Tests of peer connections: the handshake, calls, limits and silence.

mod calls;
mod ended;
mod handshake;
mod harness;
mod silence;
