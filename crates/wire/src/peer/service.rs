//! The calls between daemons.

// The tarpc macro generates public items without documentation.
#![allow(missing_docs)]

use std::time;

use trefoildyke_types::{error, id, request};

use crate::peer;

/// The calls between daemons.
///
/// Each call has a deadline; see [`within`]. Dropping a call at the caller also cancels it at the
/// server.
#[tarpc::service]
pub trait Peer {
    /// Exchanges member digests; each side merges the digest that it receives.
    async fn exchange(digest: peer::Payload) -> Result<peer::Payload, error::Error>;

    /// Answers at once, which shows that the process is running.
    async fn ping();

    /// Tries to reach another member and returns whether it answered.
    async fn probe(target: id::Incarnation) -> Result<bool, error::Error>;

    /// Asks the scheduler of a pool shard for a permit and waits for it.
    async fn ask(ask: peer::AskRequest) -> Result<request::Permit, request::Refusal>;

    /// Reports the progress of dispatched work to the scheduler of a pool shard.
    async fn report(report: peer::ReportRequest) -> Result<(), error::Error>;

    /// Reads an answer from the daemon that coordinates the request.
    async fn read(read: peer::ReadRequest) -> Result<peer::ReadAnswer, error::Error>;

    /// Writes records through the owner of their buckets and returns the results in the order of the
    /// records.
    async fn commit(commit: peer::CommitRequest) -> Result<Vec<peer::CommitOutcome>, error::Error>;

    /// Returns a record, read through the owner of its bucket.
    async fn look_up(key: id::RequestKey) -> Result<Option<request::Record>, error::Error>;

    /// Returns configuration changes that the caller lacks.
    async fn changes(request: peer::ChangesRequest) -> Result<peer::Changes, error::Error>;
}

/// Returns a call context whose deadline is `timeout` from now.
pub fn within(timeout: time::Duration) -> tarpc::context::Context {
    let mut context = tarpc::context::current();
    context.deadline = time::Instant::now() + timeout;
    context
}
