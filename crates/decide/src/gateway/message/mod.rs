//! The messages between daemons.

mod charge;
mod crash;
mod digest;
mod load;
mod part_crash;
mod placing;
mod store_view;

use trefoildyke_types::id;

use crate::gateway;

pub use charge::{Charge, ChargeReply};
pub use crash::Crash;
pub use digest::{AccountSpend, Digest};
pub use load::{EndpointLoad, Firsts, Learned, LoadReport, RateLimitReport, RouteAnswers};
pub use part_crash::{PartCrash, PartSurvival, QuarantinedParts};
pub use placing::{Ask, PlaceReply, Placed};
pub use store_view::StoreView;

/// A message from one daemon to another.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// The sender's part of the shared state.
    Digest(Digest),
    /// The sender's load, for the daemon that places the service's requests.
    Load(LoadReport),
    /// Asks for a slot.
    Ask(Ask),
    /// Replies to [`Message::Ask`].
    Placed(Placed),
    /// Withdraws a [`Message::Ask`], because the request no longer needs a slot.
    Withdraw {
        /// The service.
        service: id::PoolName,
        /// The request's number.
        number: u64,
    },
    /// Asks for a part of an account's quota.
    Charge(Charge),
    /// Replies to [`Message::Charge`].
    Charged {
        /// The number of the request.
        number: u64,
        /// The reply.
        reply: ChargeReply,
    },
    /// Gives back what was taken of an account's quota for a request that was not sent.
    Refund {
        /// The account.
        account: id::AccountName,
        /// The amount.
        cost: f64,
    },
    /// Reports a change of the hubs that the sender uses to its former hubs, so that they no longer
    /// count the sender.
    Hubs {
        /// The hash of the new hubs.
        hub_mark: u64,
    },
    /// Queries the receiver's view of the store.
    Query {
        /// The sender's time, which is returned in the reply so that the sender can determine the
        /// age of the reply.
        stamp: u64,
        /// The hash of the sender's list of endpoints.
        roster: u64,
        /// The hash of the hubs that the sender uses.
        hub_mark: u64,
        /// The hash of the crashes known to the sender.
        quarantine: u64,
        /// The hash of the rollouts known to the sender.
        rollouts: u64,
    },
    /// Answers [`Message::Query`].
    Reply {
        /// The time from the query.
        stamp: u64,
        /// The sender's view of the store.
        view: StoreView,
        /// Whether the store has answered the sender's last call and its last call for the
        /// configuration.
        answered: bool,
        /// Whether the sender watches the configuration in the store.
        watches: bool,
        /// The changes that lead from the list of the query to the list of `view`, if the sender
        /// knows them.
        changes: Option<Vec<gateway::RosterChange>>,
    },
    /// Reports rollouts.
    Rollouts {
        /// The rollouts.
        rollouts: Vec<gateway::Rollout>,
        /// Whether the sender wants to receive the rollouts that the receiver knows.
        asks: bool,
    },
    /// Reports which versions began streams, to a keeper of the streams.
    Began {
        /// The streams.
        streams: Vec<gateway::BegunStream>,
    },
    /// Asks a keeper which version began a stream.
    AskOrigin {
        /// The number of the question, unique for the sender.
        number: u64,
        /// The service.
        service: id::PoolName,
        /// The stream.
        stream: gateway::StreamId,
    },
    /// Answers [`Message::AskOrigin`].
    Origin {
        /// The number of the question.
        number: u64,
        /// What the sender knows.
        origin: gateway::Origin,
    },
    /// Reports on parts of prompts that may crash endpoints.
    Parts {
        /// Crashes.
        crashes: Vec<PartCrash>,
        /// Parts that endpoints have answered.
        survivals: Vec<PartSurvival>,
        /// All parts that the sender has decided to quarantine; `None` if that is up to others.
        quarantined: Option<Vec<QuarantinedParts>>,
        /// Whether the sender wants to receive the crashes that the receiver knows.
        asks: bool,
    },
    /// Reports crashes of endpoints during requests.
    Crashes {
        /// The crashes.
        crashes: Vec<Crash>,
        /// Whether the sender wants to receive the crashes that the receiver knows.
        asks: bool,
    },
}
