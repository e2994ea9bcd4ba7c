//! Decisions about opaque requests: which account they belong to, when they may be sent and how
//! they are answered.
//!
//! A gateway forwards requests byte by byte. Of each request it knows only the route, the client
//! account and the size that the caller declared. Nothing in this module reads a clock or does I/O.
//! `docs/design/platform.md` describes the alternatives that were considered.

mod attempt;
mod budget;
mod config;
mod deadlines;
mod events;
mod fingerprint;
mod freshness;
mod links;
mod mesh;
mod message;
mod part_key;
mod part_quarantine;
mod pool;
mod prompt;
mod quarantine;
mod quota;
mod retry_usage;
mod rollout;
mod roster;
mod streams;
mod strength;
mod version_lag;

pub use attempt::{Attempt, Failure, RetryAction, RetryPolicy};
pub use budget::RetryBudget;
pub use config::{
    Account, AccountUnit, Admitted, Config, ConfigPatch, Denied, Limits, PatchError, Route,
    RouteKind, Service, Table, Target,
};
pub use deadlines::Deadlines;
pub use events::{EventSplitter, EventTooLong};
pub use fingerprint::Fingerprint;
pub use freshness::Freshness;
pub use links::Links;
pub use mesh::{DigestChanges, Mesh, Peer, PlacingAbility};
pub use message::{
    AccountSpend, Ask, Charge, ChargeReply, Crash, Digest, EndpointLoad, Firsts, Learned,
    LoadReport, Message, PartCrash, PartSurvival, PlaceReply, Placed, QuarantinedParts,
    RateLimitReport, RouteAnswers, StoreView,
};
pub use part_key::{PartKey, shared_part_keys};
pub use part_quarantine::{PartChange, PartCut, PartQuarantine, PartQuarantineParams};
pub use pool::{
    Admission, EndpointState, Grant, Outcome, Pool, PoolParams, PoolRequest, Probe, QueueDecision,
    RateLimitChange, Refused, Ticket,
};
pub use prompt::{PromptPart, prompt_parts};
pub use quarantine::{Quarantine, QuarantineChange, QuarantineParams};
pub use quota::{Quota, QuotaParams, QuotaPart};
pub use retry_usage::RetryUsage;
pub use rollout::{
    Access, Answers, Canary, Comparison, Exposure, Finding, Gate, Judge, Rollout, Rollouts, Stage,
    VersionSet,
};
pub use roster::{Roster, RosterChange, RosterEntry};
pub use streams::{
    BegunStream, BegunStreams, EntryChecks, Handover, Origin, PossibleVersions, RecentVersions,
    STREAM_KEEPERS, SourceReport, StreamId, StreamSource, VersionsByService, assumed, conclude,
};
pub use strength::Strength;
pub use version_lag::VersionLag;
