//! What daemons tell each other about the work they have sent.

use trefoildyke_types::id;

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
    /// What the accounts have used at the sender that were used of late, from time to time all.
    pub spend: Vec<AccountSpend>,
    /// The sender's work, by service.
    pub pools: Vec<PoolDigest>,
}

/// Is what daemons send each other.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// The sender's part of the shared state.
    Digest(Digest),
    /// A slot that has become free at the sender, for a request that waits at the receiver.
    Offer {
        /// The service.
        service: id::PoolName,
        /// Where the slot is.
        endpoint: id::EndpointName,
    },
    /// Asks what the receiver knows of the store.
    Query {
        /// The sender's time; comes back in the reply, so that its age can be told.
        stamp: u64,
    },
    /// Answers [`Message::Query`].
    Reply {
        /// The time that the query named.
        stamp: u64,
        /// What the sender knows.
        view: StoreView,
    },
}

/// Says what a daemon knows of the store, and how old that is. All ages are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StoreView {
    /// The version of the configuration in force.
    pub version: u64,
    /// How long ago it was confirmed.
    pub confirmed: u32,
    /// Stands for the list of endpoints: equal lists have equal marks.
    pub roster: u64,
    /// How long ago the list was read.
    pub read: u32,
    /// For how long the list's source has answered without a break.
    pub steady: u32,
}

/// Holds what an account has used at one daemon since its start.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct AccountSpend {
    /// The account.
    pub account: id::AccountName,
    /// Everything used since the start of the incarnation; never falls.
    pub used: u64,
    /// What is left in the sender's bucket; below 0 if it is overdrawn.
    pub level: i64,
}

/// Holds one daemon's work at one service.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct PoolDigest {
    /// The service.
    pub service: id::PoolName,
    /// How many requests wait, by class: twice the rank, and one more for those that are late.
    pub waiting: Vec<u16>,
    /// The endpoints at which the sender has work or of which it holds a belief.
    pub endpoints: Vec<EndpointLoad>,
}

/// Holds one daemon's work at one endpoint.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct EndpointLoad {
    /// The endpoint.
    pub endpoint: id::EndpointName,
    /// Requests sent and not ended, and slots offered to others.
    pub running: u16,
    /// Prompt tokens sent whose first event has not come.
    pub prefill: u32,
}
