//! Peer connections: the handshake, calls, limits and silence.

mod calls;
mod handshake;
mod nodes;
mod silence;
