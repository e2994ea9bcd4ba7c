//! Random nonces that distinguish the records of different writers.

/// A random number that identifies one attempt to write a record.
///
/// If the answer to a write is lost, the writer recognises its own record by the nonce.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct Nonce(pub u64);
