//! The proofs by which both sides of a peer connection show that they hold the shared key.

use trefoildyke_types::id;

use crate::peer;

/// The protocol's name in the `Upgrade` header.
pub const PROTOCOL: &str = "trefoildyke-peer";

/// The size of a nonce, in bytes.
pub(crate) const NONCE_BYTES: usize = 16;

/// A proof that a side holds the shared key: an HMAC of the transcript.
pub type Proof = [u8; 32];

/// The side of the connection that makes a proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The side that opened the connection.
    Client,
    /// The side that accepted the connection.
    Server,
}

/// The values that both sides exchange in a handshake; every proof covers all of them.
///
/// Each side chooses a new nonce for each handshake, so that a proof cannot be replayed. The role is
/// part of the signed message, so that a proof cannot be reflected to the side that made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transcript {
    /// The client's incarnation.
    pub client: id::Incarnation,
    /// The server's incarnation.
    pub server: id::Incarnation,
    /// The client's nonce.
    pub client_nonce: [u8; NONCE_BYTES],
    /// The server's nonce.
    pub server_nonce: [u8; NONCE_BYTES],
}

impl Transcript {
    /// Returns the proof of the side `role`, made with the first of `keys`.
    pub fn prove(&self, keys: &peer::Keys, role: Role) -> Proof {
        keys.sign(&self.message(role))
    }

    /// Returns whether `proof` is the proof of the side `role` for this handshake with one of `keys`.
    pub fn verify(&self, keys: &peer::Keys, role: Role, proof: &[u8]) -> bool {
        keys.verify(&self.message(role), proof)
    }

    fn message(&self, role: Role) -> Vec<u8> {
        let role: &[u8] = match role {
            Role::Client => b"client",
            Role::Server => b"server",
        };
        let mut message = Vec::with_capacity(96);
        message.extend_from_slice(PROTOCOL.as_bytes());
        message.extend_from_slice(role);
        message.extend_from_slice(&self.client.as_u64().to_be_bytes());
        message.extend_from_slice(&self.server.as_u64().to_be_bytes());
        message.extend_from_slice(&self.client_nonce);
        message.extend_from_slice(&self.server_nonce);
        message
    }
}
