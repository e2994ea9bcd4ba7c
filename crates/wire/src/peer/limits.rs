//! Limits and intervals of a peer connection.

use std::time;

/// The limits and intervals of a peer connection; both sides should use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The maximum size of a frame, in bytes.
    pub frame_bytes: usize,
    /// The maximum number of connections that a server keeps open.
    pub connections: usize,
    /// The maximum number of concurrent calls that a server runs for one connection.
    pub calls: usize,
    /// The longest time for connecting, upgrading and proving the key, in milliseconds.
    pub handshake_ms: u64,
    /// How long a side may send nothing before it sends a heartbeat while a call is in flight, in
    /// milliseconds.
    pub heartbeat_ms: u64,
    /// How long a side may receive nothing before it closes the connection while a call is in flight,
    /// in milliseconds.
    ///
    /// At least three times `heartbeat_ms`, so that one late heartbeat does not close the connection.
    pub silence_ms: u64,
    /// The counterpart of `heartbeat_ms` while no call is in flight, in milliseconds.
    pub idle_heartbeat_ms: u64,
    /// The counterpart of `silence_ms` while no call is in flight, in milliseconds.
    pub idle_silence_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            frame_bytes: 2 << 20,
            connections: 4_096,
            calls: 4_096,
            handshake_ms: 2_000,
            heartbeat_ms: 500,
            silence_ms: 2_000,
            idle_heartbeat_ms: 10_000,
            idle_silence_ms: 35_000,
        }
    }
}

impl Limits {
    /// Returns the longest time for connecting, upgrading and proving the key.
    pub const fn handshake(&self) -> time::Duration {
        time::Duration::from_millis(self.handshake_ms)
    }

    /// Returns the time after which a side sends a heartbeat while a call is in flight.
    pub const fn heartbeat(&self) -> time::Duration {
        time::Duration::from_millis(self.heartbeat_ms)
    }

    /// Returns the time after which a silent connection with a call in flight is closed.
    pub const fn silence(&self) -> time::Duration {
        time::Duration::from_millis(self.silence_ms)
    }

    /// Returns the time after which a side sends a heartbeat while no call is in flight.
    pub const fn idle_heartbeat(&self) -> time::Duration {
        time::Duration::from_millis(self.idle_heartbeat_ms)
    }

    /// Returns the time after which a silent connection without a call in flight is closed.
    pub const fn idle_silence(&self) -> time::Duration {
        time::Duration::from_millis(self.idle_silence_ms)
    }
}
