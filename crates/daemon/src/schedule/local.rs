//! The schedulers of the shards that belong to this daemon.

use std::{collections, convert, sync};

use tokio::sync::{mpsc, oneshot, watch};
use trefoildyke_decide::{config, schedule as decide};
use trefoildyke_kernel as kernel;
use trefoildyke_types::request;

use crate::{
    clock, endpoints, hosts,
    schedule::{Entry, SchedulerCalls, SchedulerLost, Settings, actor, command, shares},
};

/// Capacity of the channel from a shard's watcher to its actor.
const FEED_CAPACITY: usize = 256;

type CommandSender = mpsc::UnboundedSender<command::Command>;

/// The actors of the shards that this daemon schedules; each one starts when its shard is first used.
pub(super) struct LocalShards {
    pub(super) settings: Settings,
    pub(super) endpoints: endpoints::Settings,
    pub(super) clock: clock::Clock,
    pub(super) scheduler_calls: SchedulerCalls,
    pub(super) config: watch::Receiver<sync::Arc<config::Snapshot>>,
    pub(super) hosts: hosts::Handle,
    /// The control thread, on which the actors run.
    pub(super) scope: kernel::Scope,
    /// The channels to the actors. When an actor ends, its closed channel stays until the next use of
    /// the shard replaces it.
    pub(super) actors: sync::Mutex<collections::HashMap<endpoints::Shard, CommandSender>>,
}

impl LocalShards {
    /// Asks the local scheduler of a shard for a permit and waits for its answer.
    ///
    /// Fails if this daemon does not schedule the shard, or stops scheduling it meanwhile.
    pub(super) async fn ask(
        &self,
        shard: &endpoints::Shard,
        ask: request::Ask,
    ) -> Result<Result<request::Permit, request::Refusal>, SchedulerLost> {
        if !self.scheduler_calls.is_scheduled_here(shard) {
            return Err(SchedulerLost);
        }
        let commands = self.commands(shard);
        let guard = command::AskGuard::new(commands.clone(), ask.key.clone());
        let (reply, answer) = oneshot::channel();
        commands.send(command::Command::Ask(ask, reply)).map_err(|_| SchedulerLost)?;
        let answer = answer.await.map_err(|_| SchedulerLost)?;
        guard.disarm();
        Ok(answer)
    }

    /// Passes a batch of reports to the local scheduler of a shard.
    pub(super) fn report(
        &self,
        shard: &endpoints::Shard,
        entries: Vec<Entry>,
    ) -> Result<(), SchedulerLost> {
        if !self.scheduler_calls.is_scheduled_here(shard) {
            return Err(SchedulerLost);
        }
        self.commands(shard).send(command::Command::Entries(entries)).map_err(|_| SchedulerLost)
    }

    fn commands(&self, shard: &endpoints::Shard) -> CommandSender {
        let mut actors = self.actors.lock().unwrap_or_else(sync::PoisonError::into_inner);
        if let Some(commands) = actors.get(shard)
            && !commands.is_closed()
        {
            return commands.clone();
        }
        let commands = self.start(shard);
        actors.insert(shard.clone(), commands.clone());
        commands
    }

    fn start(&self, shard: &endpoints::Shard) -> CommandSender {
        let (commands, received) = mpsc::unbounded_channel();
        let (feed, feed_receiver) = mpsc::channel(FEED_CAPACITY);
        let (handle, watcher) = endpoints::new(
            self.endpoints,
            shard.clone(),
            self.config.clone(),
            &self.hosts,
            self.clock.origin(),
            feed,
        );
        let actor = actor::Actor {
            shard: decide::Shard::new(self.settings.policy.clone(), self.scheduler_calls.own),
            name: shard.clone(),
            clock: self.clock,
            scheduler_calls: self.scheduler_calls.clone(),
            idle: self.settings.idle(),
            commands: received,
            feed: feed_receiver,
            watcher: handle,
            config: self.config.clone(),
            shares: shares::Shares::default(),
            waiting: collections::HashMap::new(),
            wake_at: None,
            coordinators: collections::HashSet::new(),
        };
        let token = self.scope.token().clone();
        log::info!(target: "schedule", "starting to schedule shard {}/{}", shard.pool, shard.number);
        self.scope.spawn("schedule", async move {
            tokio::select! {
                () = token.cancelled() => {}
                () = actor.run() => {}
                () = watcher.run() => {}
            }
            Ok::<(), convert::Infallible>(())
        });
        commands
    }
}
