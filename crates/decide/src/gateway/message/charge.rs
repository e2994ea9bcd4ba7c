//! Requests to the daemon that keeps an account's bucket for a part of the quota.

use trefoildyke_types::id;

/// Asks for a part of an account's quota.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Charge {
    /// The number of the request, unique for the sender.
    pub number: u64,
    /// The account.
    pub account: id::AccountName,
    /// The amount, in the unit of the quota.
    pub cost: f64,
}

/// The reply to a [`Charge`].
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum ChargeReply {
    /// The amount was taken from the bucket.
    Granted,
    /// The quota is used up.
    Refused {
        /// The time in milliseconds until the bucket will hold enough.
        wait_ms: u32,
    },
    /// The sender of the reply does not know the account.
    Unknown,
}
