//! Asking the daemon that keeps an account's bucket for a part of its quota.

use trefoildyke_types::id;

/// Asks for a part of an account's quota.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Charge {
    /// Names the request among those of the sender.
    pub number: u64,
    /// The account.
    pub account: id::AccountName,
    /// How much, in the unit of its quota.
    pub cost: f64,
}

/// Says what becomes of a [`Charge`].
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum ChargeReply {
    /// It was taken.
    Granted,
    /// The quota is used up.
    Refused {
        /// In how many milliseconds the bucket will hold enough.
        wait_ms: u32,
    },
    /// The sender does not know the account.
    Unknown,
}
