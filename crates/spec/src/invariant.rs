//! The invariants by name: the nine of the design, and those for keys, orders to engines and moves to other versions.

use std::fmt;

/// Names an invariant of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// One request id is sent to endpoints at most once.
    AtMostOnceDispatch,
    /// A non-idempotent request runs at most once, whatever the key-value service does.
    NonIdempotentRunsOnce,
    /// No higher tier is shed before a lower one.
    TierOrder,
    /// A caller gets the complete answer to its own id or a refusal.
    WholeOwnAnswer,
    /// A refusal as `not_run` is true now and later.
    TruthfulRefusal,
    /// What is leaving gets no new work after the bound.
    LeavingGetsNothing,
    /// A planned stop ends only after all requests in progress.
    PlannedStopCutsNothing,
    /// An accepted configuration is in force everywhere and never reverts.
    ConfigMonotone,
    /// A request that was given up on is answered at once.
    FinalAtOnce,
    /// A key that was taken away stops working within the bound, also where nobody can say so.
    KeysFailClosed,
    /// No order of a former lease holder takes effect after one of a later holder.
    FencedOrders,
    /// A move to another version is complete or reverted, never one after the other.
    OneEnd,
    /// A move is complete only when nothing runs at the old version.
    CompleteCutsNothing,
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}
