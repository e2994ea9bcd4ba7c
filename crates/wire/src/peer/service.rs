//! The calls that daemons make on one another.

// The macro generates items that carry no documentation of their own.
#![allow(missing_docs)]

use std::time;

use trefoildyke_types::{error, id, request};

use crate::peer;

/// Holds every call between daemons.
///
/// Each call carries a deadline: see [`within`]. A caller that drops a call cancels it at the
/// server too.
#[tarpc::service]
pub trait Peer {
    /// Exchanges member digests; both sides merge what they get.
    async fn exchange(digest: peer::Payload) -> Result<peer::Payload, error::Error>;

    /// Answers at once, to show that the process runs.
    async fn ping();

    /// Tries to reach another member and returns whether it answered.
    async fn probe(target: id::Incarnation) -> Result<bool, error::Error>;

    /// Asks the scheduler of a pool shard for a permit and waits for it.
    async fn ask(ask: peer::AskRequest) -> Result<request::Permit, request::Refusal>;

    /// Tells the scheduler of a pool shard how dispatched work goes on.
    async fn report(report: peer::ReportRequest) -> Result<(), error::Error>;

    /// Reads an answer from the daemon that coordinates the request.
    async fn read(read: peer::ReadRequest) -> Result<peer::ReadAnswer, error::Error>;

    /// Writes records through the owner of a bucket; the answers are in the order of the records.
    async fn commit(commit: peer::CommitRequest) -> Result<Vec<peer::CommitOutcome>, error::Error>;

    /// Looks a record up through the owner of its bucket.
    async fn look_up(key: id::RequestKey) -> Result<Option<request::Record>, error::Error>;

    /// Returns configuration changes that the caller lacks.
    async fn changes(request: peer::ChangesRequest) -> Result<peer::Changes, error::Error>;
}

/// Returns a call context whose deadline lies `timeout` ahead.
pub fn within(timeout: time::Duration) -> tarpc::context::Context {
    let mut context = tarpc::context::current();
    context.deadline = time::Instant::now() + timeout;
    context
}
