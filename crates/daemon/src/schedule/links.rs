//! Who schedules a shard, and how the scheduler is reached.

use std::{sync, time};

use futures::future;
use tokio::sync::watch;
use trefoildyke_decide::members;
use trefoildyke_types::{error, id, request};
use trefoildyke_wire::peer;
use xxhash_rust::xxh3;

use crate::endpoints;

type Granted = Result<request::Permit, request::Refusal>;

/// Calls [`peer::Peer::ask`] at a member, with a deadline; fails if no answer came.
pub type AskCall = sync::Arc<
    dyn Fn(
            id::Incarnation,
            peer::AskRequest,
            time::Duration,
        ) -> future::BoxFuture<'static, Result<Granted, error::Error>>
        + Send
        + Sync,
>;

/// Calls [`peer::Peer::report`] at a member, with a deadline.
pub type ReportCall = sync::Arc<
    dyn Fn(
            id::Incarnation,
            peer::ReportRequest,
            time::Duration,
        ) -> future::BoxFuture<'static, Result<(), error::Error>>
        + Send
        + Sync,
>;

/// Says who schedules a shard, and how the scheduler is reached.
#[derive(Clone)]
pub struct Links {
    /// This daemon.
    pub own: id::Incarnation,
    /// The members as this daemon sees them.
    pub view: watch::Receiver<sync::Arc<members::View>>,
    /// Asks a member for a permit.
    pub ask: AskCall,
    /// Reports to a member.
    pub report: ReportCall,
}

impl Links {
    /// Returns the daemon that schedules the shard, as this daemon sees it.
    pub(super) fn scheduler(&self, shard: &endpoints::Shard) -> Option<id::Incarnation> {
        scheduler_in(&self.view.borrow(), shard)
    }

    /// Waits until another daemon than `scheduler` schedules the shard.
    pub(super) async fn moved(&self, shard: &endpoints::Shard, scheduler: Option<id::Incarnation>) {
        let mut view = self.view.clone();
        let ended = view.wait_for(|view| scheduler_in(view, shard) != scheduler).await.is_err();
        if ended {
            future::pending::<()>().await;
        }
    }

    /// Returns whether this daemon schedules the shard, as it sees it itself.
    pub(super) fn is_own(&self, shard: &endpoints::Shard) -> bool {
        self.scheduler(shard) == Some(self.own)
    }
}

fn scheduler_in(view: &members::View, shard: &endpoints::Shard) -> Option<id::Incarnation> {
    view.owner(role(shard)).map(|member| member.incarnation)
}

fn role(shard: &endpoints::Shard) -> u64 {
    xxh3::xxh3_64_with_seed(shard.pool.as_str().as_bytes(), u64::from(shard.number))
}
