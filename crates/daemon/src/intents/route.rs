//! Who owns a bucket, and how its owner is reached.

use std::{sync, time};

use futures::future::BoxFuture;
use trefoildyke_types::{error, id, request};
use trefoildyke_wire::peer;

/// Returns at most the given number of members for a key, the owner first.
pub type Owners = sync::Arc<dyn Fn(u64, usize) -> Vec<id::Incarnation> + Send + Sync>;

/// Calls [`peer::Peer::commit`] at a member, with a deadline.
///
/// An error of kind `Unavailable` says that the call was not sent; any other leaves it unsure.
pub type CommitCall = sync::Arc<
    dyn Fn(
            id::Incarnation,
            peer::CommitRequest,
            time::Duration,
        ) -> BoxFuture<'static, Result<Vec<peer::CommitOutcome>, error::Error>>
        + Send
        + Sync,
>;

/// Calls [`peer::Peer::look_up`] at a member, with a deadline.
pub type LookUpCall = sync::Arc<
    dyn Fn(
            id::Incarnation,
            id::RequestKey,
            time::Duration,
        ) -> BoxFuture<'static, Result<Option<request::Record>, error::Error>>
        + Send
        + Sync,
>;

/// Says who owns a bucket, and how its owner is reached.
#[derive(Clone)]
pub struct Route {
    /// This daemon.
    pub own: id::Incarnation,
    /// Finds the owners of a bucket.
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

    /// Returns the ways to write a record of a bucket, in the order in which they are tried: the
    /// owner, this daemon, another member.
    pub(super) fn ways(&self, owner_key: u64) -> Vec<id::Incarnation> {
        let owners = (self.owners)(owner_key, 3);
        let mut ways: Vec<_> = owners.first().copied().into_iter().collect();
        if !ways.contains(&self.own) {
            ways.push(self.own);
        }
        ways.extend(owners.into_iter().skip(1).find(|member| *member != self.own));
        ways
    }

    /// Returns how many members there are.
    pub(super) fn members(&self) -> usize {
        (self.owners)(0, usize::MAX).len()
    }

    /// Returns whether this daemon owns a key.
    pub(super) fn owns(&self, key: u64) -> bool {
        (self.owners)(key, 1).first().is_none_or(|owner| *owner == self.own)
    }
}
