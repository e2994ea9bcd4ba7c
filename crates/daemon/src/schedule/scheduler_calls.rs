//! Finding the scheduler of a shard, and calling it.

use std::{sync, time};

use futures::future;
use tokio::sync::watch;
use trefoildyke_decide::members;
use trefoildyke_types::{error, id, request};
use trefoildyke_wire::peer;
use xxhash_rust::xxh3;

use crate::endpoints;

type PermitResult = Result<request::Permit, request::Refusal>;

/// Calls [`peer::Peer::ask`] at a member, with a timeout; fails if no answer came.
pub type AskCall = sync::Arc<
    dyn Fn(
            id::Incarnation,
            peer::AskRequest,
            time::Duration,
        ) -> future::BoxFuture<'static, Result<PermitResult, error::Error>>
        + Send
        + Sync,
>;

/// Calls [`peer::Peer::report`] at a member, with a timeout.
pub type ReportCall = sync::Arc<
    dyn Fn(
            id::Incarnation,
            peer::ReportRequest,
            time::Duration,
        ) -> future::BoxFuture<'static, Result<(), error::Error>>
        + Send
        + Sync,
>;

/// Finds the scheduler of a shard and calls it.
#[derive(Clone)]
pub struct SchedulerCalls {
    /// The incarnation of this daemon.
    pub own: id::Incarnation,
    /// The view of the members at this daemon.
    pub view: watch::Receiver<sync::Arc<members::View>>,
    /// Asks a member for a permit.
    pub ask: AskCall,
    /// Reports to a member.
    pub report: ReportCall,
}

impl SchedulerCalls {
    /// Returns the daemon that schedules the shard in the current view.
    pub(super) fn scheduler(&self, shard: &endpoints::Shard) -> Option<id::Incarnation> {
        scheduler_in(&self.view.borrow(), shard)
    }

    /// Waits until a daemon other than `scheduler` schedules the shard.
    pub(super) async fn scheduler_changed(
        &self,
        shard: &endpoints::Shard,
        scheduler: Option<id::Incarnation>,
    ) {
        let mut view = self.view.clone();
        let ended = view.wait_for(|view| scheduler_in(view, shard) != scheduler).await.is_err();
        if ended {
            future::pending::<()>().await;
        }
    }

    /// Returns whether this daemon schedules the shard in its current view.
    pub(super) fn is_scheduled_here(&self, shard: &endpoints::Shard) -> bool {
        self.scheduler(shard) == Some(self.own)
    }
}

fn scheduler_in(view: &members::View, shard: &endpoints::Shard) -> Option<id::Incarnation> {
    view.owner(role_key(shard)).map(|member| member.incarnation)
}

fn role_key(shard: &endpoints::Shard) -> u64 {
    xxh3::xxh3_64_with_seed(shard.pool.as_str().as_bytes(), u64::from(shard.number))
}
