//! Random marks that tell one writer's record from another's.

/// Marks one attempt to write a record, so that a writer recognises its own after a lost answer.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct Nonce(pub u64);
