//! The proofs that both sides of a peer connection hold the shared key.

use trefoildyke_types::id;

use crate::peer;

/// The protocol's name in the `Upgrade` header.
pub const PROTOCOL: &str = "trefoildyke-peer";

/// The number of bytes in a nonce.
pub(crate) const NONCE_BYTES: usize = 16;

/// A proof of the shared key.
pub type Proof = [u8; 32];

/// Says which side of the connection makes a proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The side that connected.
    Client,
    /// The side that accepted.
    Server,
}

/// Holds what both sides said in a handshake; every proof covers all of it.
///
/// Each side chooses its own nonce afresh, so an old proof proves nothing, and the role is part of
/// what is signed, so a proof sent back to its maker proves nothing.
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
    /// Returns the proof that the side `role` makes with the first of `keys`.
    pub fn prove(&self, keys: &peer::Keys, role: Role) -> Proof {
        keys.sign(&self.message(role))
    }

    /// Returns whether `proof` was made for this handshake by the side `role` with one of `keys`.
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
