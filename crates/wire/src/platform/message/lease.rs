//! Leases of the key-value service; the keys of a lease are deleted when it ends.

/// The number of a lease of the key-value service.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct LeaseNumber(pub u64);

/// A request for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// How long the lease lasts without renewal, in milliseconds; at least 1.
    pub ttl_ms: u64,
}

/// A reference to a lease: the answer to [`Grant`], and the body of renew and revoke calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRef {
    /// The lease's number.
    pub lease: LeaseNumber,
}
