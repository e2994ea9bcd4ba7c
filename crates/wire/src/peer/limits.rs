//! Limits and intervals of a peer connection.

use std::time;

/// Holds the limits and intervals of a peer connection; both sides should use the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The largest frame, in bytes.
    pub frame_bytes: usize,
    /// The most connections that a server holds at once.
    pub connections: usize,
    /// The most calls that a server runs at once for one connection.
    pub calls: usize,
    /// The longest time for connecting, upgrading and proving the key, in milliseconds.
    pub handshake_ms: u64,
    /// While a call is in flight, a side that has sent nothing for this long sends a heartbeat, in
    /// milliseconds.
    pub heartbeat_ms: u64,
    /// While a call is in flight, a side that has heard nothing for this long gives the connection
    /// up, in milliseconds.
    ///
    /// At least three times `heartbeat_ms`, so that one late heartbeat is no fault.
    pub silence_ms: u64,
    /// The same as `heartbeat_ms` while no call is in flight.
    pub idle_heartbeat_ms: u64,
    /// The same as `silence_ms` while no call is in flight.
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

    /// Returns the time after which a silent connection with a call in flight is given up.
    pub const fn silence(&self) -> time::Duration {
        time::Duration::from_millis(self.silence_ms)
    }

    /// Returns the time after which a side sends a heartbeat while no call is in flight.
    pub const fn idle_heartbeat(&self) -> time::Duration {
        time::Duration::from_millis(self.idle_heartbeat_ms)
    }

    /// Returns the time after which a silent connection without a call in flight is given up.
    pub const fn idle_silence(&self) -> time::Duration {
        time::Duration::from_millis(self.idle_silence_ms)
    }
}
