//! The owners of buckets and the calls to them.

use std::{sync, time};

use futures::future::BoxFuture;
use trefoildyke_types::{error, id, request};
use trefoildyke_wire::peer;

/// Returns at most the given number of members for a key hash, the owner first.
pub type Owners = sync::Arc<dyn Fn(u64, usize) -> Vec<id::Incarnation> + Send + Sync>;

/// Calls [`peer::Peer::commit`] of a member, with a timeout.
///
/// An error of kind `Unavailable` means that the call was not sent; after any other error, the outcome is
/// unsure.
pub type CommitCall = sync::Arc<
    dyn Fn(
            id::Incarnation,
            peer::CommitRequest,
            time::Duration,
        ) -> BoxFuture<'static, Result<Vec<peer::CommitOutcome>, error::Error>>
        + Send
        + Sync,
>;

/// Calls [`peer::Peer::look_up`] of a member, with a timeout.
pub type LookUpCall = sync::Arc<
    dyn Fn(
            id::Incarnation,
            id::RequestKey,
            time::Duration,
        ) -> BoxFuture<'static, Result<Option<request::Record>, error::Error>>
        + Send
        + Sync,
>;

/// The owners of buckets and the calls to them.
#[derive(Clone)]
pub struct Route {
    /// The incarnation of this daemon.
    pub own: id::Incarnation,
    /// Returns the owner of a bucket and the members that follow it.
    pub owners: Owners,
    /// Writes records through a member.
    pub commit: CommitCall,
    /// Looks a record up through a member.
    pub look_up: LookUpCall,
}

impl Route {
    /// Creates the route of a daemon without peers.
    pub fn alone(own: id::Incarnation) -> Self {
        let no_peer = || error::Error::new(error::ErrorKind::Unavailable, "there is no peer");
        Self {
            own,
            owners: sync::Arc::new(move |_, _| vec![own]),
            commit: sync::Arc::new(move |_, _, _| Box::pin(async move { Err(no_peer()) })),
            look_up: sync::Arc::new(move |_, _, _| Box::pin(async move { Err(no_peer()) })),
        }
    }

    /// Returns the members that can write a record of a bucket, in the order of attempts: the owner, this
    /// daemon, another member.
    pub(super) fn candidates(&self, owner_hash: u64) -> Vec<id::Incarnation> {
        let owners = (self.owners)(owner_hash, 3);
        let mut candidates: Vec<_> = owners.first().copied().into_iter().collect();
        if !candidates.contains(&self.own) {
            candidates.push(self.own);
        }
        candidates.extend(owners.into_iter().skip(1).find(|member| *member != self.own));
        candidates
    }

    /// Returns the number of members.
    pub(super) fn member_count(&self) -> usize {
        (self.owners)(0, usize::MAX).len()
    }

    /// Returns whether this daemon owns a key; also true if no member is known.
    pub(super) fn owns(&self, key: u64) -> bool {
        (self.owners)(key, 1).first().is_none_or(|owner| *owner == self.own)
    }
}
