//! The names of the invariants: nine of the design, and those for repeated sends, API keys, orders to
//! engines and rollouts of versions.

use std::fmt;

/// An invariant of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// One request id is sent to endpoints at most once.
    AtMostOnceDispatch,
    /// A non-idempotent request runs at most once, whatever the key-value service does.
    NonIdempotentRunsOnce,
    /// A request runs at no more endpoints than its route allows.
    RunLimit,
    /// No higher tier is shed before a lower one.
    TierOrder,
    /// A caller gets either the complete answer to its own request id or a refusal.
    WholeOwnAnswer,
    /// A request refused as `not_run` has not run and never runs later.
    TruthfulRefusal,
    /// An endpoint that is being stopped gets no new work once the bound has passed.
    LeavingGetsNothing,
    /// A planned stop completes only after all requests in progress have ended.
    PlannedStopCutsNothing,
    /// An accepted configuration is in force everywhere and never reverts.
    ConfigMonotone,
    /// A request that is given up, for instance at its deadline, is answered at once.
    FinalAtOnce,
    /// A revoked key stops working within the bound, also on a gateway that cannot learn of the revocation.
    KeysFailClosed,
    /// No order of an earlier lease holder takes effect after an order of a later holder.
    FencedOrders,
    /// A rollout ends either as complete or as reverted; its final stage never changes to the other.
    OneEnd,
    /// A rollout is complete only when no request runs at the old version.
    CompleteCutsNothing,
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}
