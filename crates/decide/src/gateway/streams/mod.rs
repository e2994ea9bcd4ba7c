//! The versions of the endpoints that began streams.
//!
//! What two versions write does not fit together, so a stream goes on only at the version that began it.
//! A caller may come back to any daemon. Each stream therefore has keepers: daemons that are told of its
//! version when it begins, and are asked when its caller comes back to a daemon that did not see it.
//! `docs/design/stream-versions.md` describes the alternatives that were considered.

mod begun;
mod handover;
mod origin;
mod recent;
mod source;
mod stream_id;

pub use begun::{BegunStream, BegunStreams};
pub use handover::Handover;
pub use origin::{Origin, PossibleVersions, VersionsByService, assumed, conclude};
pub use recent::RecentVersions;
pub use source::{EntryChecks, SourceReport, StreamSource};
pub use stream_id::StreamId;

/// The number of other daemons that are told of a stream; one of them may be lost with the daemon that began
/// it.
pub const STREAM_KEEPERS: usize = 2;
