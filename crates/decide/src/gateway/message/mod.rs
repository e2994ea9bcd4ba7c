//! What daemons tell each other.

mod charge;
mod crash;
mod digest;
mod load;
mod placing;
mod store_view;

use trefoildyke_types::id;

use crate::gateway;

pub use charge::{Charge, ChargeReply};
pub use crash::Crash;
pub use digest::{AccountSpend, Digest};
pub use load::{EndpointLoad, Firsts, Learned, LoadReport, RateLimitReport, RouteAnswers};
pub use placing::{Ask, PlaceReply, Placed};
pub use store_view::StoreView;

/// Is what daemons send each other.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// The sender's part of what all know.
    Digest(Digest),
    /// The sender's work, for the daemon that places the service's requests.
    Load(LoadReport),
    /// Asks for a place.
    Ask(Ask),
    /// Replies to [`Message::Ask`].
    Placed(Placed),
    /// Takes [`Message::Ask`] back: the request needs no place any more.
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
        /// The request's number.
        number: u64,
        /// What becomes of it.
        reply: ChargeReply,
    },
    /// Gives back what was taken of an account's quota for a request that was sent nowhere.
    Refund {
        /// The account.
        account: id::AccountName,
        /// How much.
        cost: f64,
    },
    /// Tells hubs by which other hubs the sender goes from now on, so that they do not count it any more.
    Hubs {
        /// The mark of those.
        hub_mark: u64,
    },
    /// Asks what the receiver knows of the store.
    Query {
        /// The sender's time; comes back in the reply, so that its age can be told.
        stamp: u64,
        /// The mark of the sender's list of endpoints.
        roster: u64,
        /// The mark of the hubs that the sender goes by.
        hub_mark: u64,
        /// The mark of what the sender knows of requests that end endpoints.
        quarantine: u64,
        /// The mark of the roll-outs that the sender knows.
        rollouts: u64,
    },
    /// Answers [`Message::Query`].
    Reply {
        /// The time that the query named.
        stamp: u64,
        /// What the sender knows.
        view: StoreView,
        /// Whether the store has answered the sender's last call.
        answered: bool,
        /// What leads from the list of the query to the one of `view`, if the sender knows that.
        changes: Option<Vec<gateway::RosterChange>>,
    },
    /// Tells of moves of services to other versions.
    Rollouts {
        /// The moves.
        rollouts: Vec<gateway::Rollout>,
        /// Whether the sender wants to know what else the receiver knows.
        asks: bool,
    },
    /// Tells under which requests endpoints have ended.
    Crashes {
        /// The ends.
        crashes: Vec<Crash>,
        /// Whether the sender wants to know what else the receiver knows.
        asks: bool,
    },
}
