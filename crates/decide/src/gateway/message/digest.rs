//! What a daemon tells others of itself.

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
    /// Whether this is the first that the sender says to all.
    pub starting: bool,
    /// How much work for others the sender's host can take.
    pub strength: gateway::Strength,
    /// Whether the sender has just started and knows little of what was used.
    pub is_young: bool,
    /// Whether the sender leaves and says nothing more.
    pub leaving: bool,
    /// Whether the store left the sender's last call without an answer.
    pub unanswered: bool,
    /// The mark of the hubs that the sender goes by.
    pub hub_mark: u64,
    /// How many daemons ask the sender about the store that go by the same hubs.
    pub clients: u16,
    /// The mark of what the sender knows of requests that end endpoints.
    pub quarantine: u64,
    /// The mark of the roll-outs that the sender knows.
    pub rollouts: u64,
    /// What the accounts have used at the sender that were used of late, from time to time all.
    pub spend: Vec<AccountSpend>,
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
