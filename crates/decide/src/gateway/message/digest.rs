//! The state that a daemon reports to the others.

use trefoildyke_types::id;

use crate::gateway;

/// One daemon's part of the shared state.
///
/// It holds complete lists and running totals, so that a lost digest does no harm.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Digest {
    /// The sender's incarnation; a new incarnation restarts all counters.
    pub incarnation: u64,
    /// The sequence number within the incarnation, so that a late digest is ignored.
    pub number: u64,
    /// Whether this is the sender's first message to all daemons.
    pub starting: bool,
    /// The capacity of the sender's host for work on behalf of other daemons.
    pub strength: gateway::Strength,
    /// Whether the sender has just started and knows little of the earlier usage.
    pub is_young: bool,
    /// Whether the sender leaves and sends nothing more.
    pub leaving: bool,
    /// Whether the store left the sender's last call, or its last call for the configuration,
    /// unanswered.
    pub unanswered: bool,
    /// The hash of the hubs that the sender uses.
    pub hub_mark: u64,
    /// The number of daemons that query the sender about the store and use the same hubs.
    pub clients: u16,
    /// The hash of the crashes known to the sender.
    pub quarantine: u64,
    /// The hash of the rollouts known to the sender.
    pub rollouts: u64,
    /// The usage at the sender of accounts that were used recently; from time to time of all
    /// accounts.
    pub spend: Vec<AccountSpend>,
}

/// The usage of an account at one daemon since its start.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct AccountSpend {
    /// The account.
    pub account: id::AccountName,
    /// The total amount taken since the start of the incarnation; never decreases.
    pub used: u64,
    /// The amount of that which was given back because its requests were not sent; never decreases.
    pub returned: u64,
    /// The level of the sender's bucket; below 0 if it is overdrawn.
    pub level: i64,
}
