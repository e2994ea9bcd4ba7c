//! Counts of what members send.

use trefoildyke_decide::members;

/// What a message costs besides its digest, in bytes.
///
/// An exchange is two messages in three packets of 52 bytes of headers (the answer's acknowledgement
/// travels alone), and each message has about 60 bytes of tarpc envelope and frame.
pub(crate) const OVERHEAD: u64 = 138;

/// Counts messages and bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// The messages sent and received.
    pub messages: u64,
    /// The bytes sent and received, headers included.
    pub bytes: u64,
}

impl Traffic {
    pub(crate) fn count(&mut self, bytes: u64) {
        self.messages += 1;
        self.bytes += bytes + OVERHEAD;
    }
}

/// Returns the encoded length of a digest.
pub(crate) fn length(digest: &members::Digest) -> u64 {
    rmp_serde::to_vec(digest).map_or(0, |bytes| bytes.len() as u64)
}
