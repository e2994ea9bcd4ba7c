//! Leases, with which keys end.

/// Names a lease of the key-value service.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct LeaseNumber(pub u64);

/// Asks for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// How long the lease lasts without renewal, in milliseconds; at least 1.
    pub ttl_ms: u64,
}

/// Refers to a lease: the answer to [`Grant`], and the body of renewing and revoking.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRef {
    /// The lease.
    pub lease: LeaseNumber,
}
