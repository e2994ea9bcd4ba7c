//! What daemons tell all others.

use trefoildyke_types::id;

use crate::gateway;

/// Holds one daemon's part of the shared state: full pictures and running totals, so a lost one does
/// no harm.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Digest {
    /// The sender's incarnation; a new one starts all counters anew.
    pub incarnation: u64,
    /// Rises with each digest of an incarnation, so that one that comes late is ignored.
    pub number: u64,
    /// Whether the sender has just started and knows little of what was used.
    pub is_young: bool,
    /// Whether the sender leaves and says nothing more.
    pub leaving: bool,
    /// Whether the store left the sender's last call without an answer.
    pub unanswered: bool,
    /// Whether the sender can place the requests of others.
    pub placing: Placing,
    /// How much work for others the sender's host can take.
    pub strength: gateway::Strength,
    /// What the accounts have used at the sender that were used of late, from time to time all.
    pub spend: Vec<AccountSpend>,
}

/// Says whether a daemon can place the requests of others. Later ones are asked first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
pub enum Placing {
    /// It knows no endpoints, or leaves.
    #[default]
    Unable,
    /// It has just started and does not know yet what the others have sent.
    New,
    /// It can.
    Able,
}

/// Holds what an account has used at one daemon since its start.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct AccountSpend {
    /// The account.
    pub account: id::AccountName,
    /// Everything taken since the start of the incarnation; never falls.
    pub used: u64,
    /// What of that was given back, since the requests it was taken for were sent nowhere; never falls.
    pub returned: u64,
    /// What is left in the sender's bucket; below 0 if it is overdrawn.
    pub level: i64,
}
