//! The shards that this daemon schedules.

use std::{collections, convert, sync};

use tokio::sync::{mpsc, oneshot, watch};
use trefoildyke_decide::{config, schedule as decide};
use trefoildyke_kernel as kernel;
use trefoildyke_types::request;

use crate::{
    clock, endpoints, hosts,
    schedule::{Entry, Links, Lost, Settings, actor, command, shares},
};

/// How many inputs of a shard's watcher may wait for its actor.
const FEED: usize = 256;

type Commands = mpsc::UnboundedSender<command::Command>;

/// Starts the actors of shards when they are first asked, and finds them.
pub(super) struct Local {
    pub(super) settings: Settings,
    pub(super) endpoints: endpoints::Settings,
    pub(super) clock: clock::Clock,
    pub(super) links: Links,
    pub(super) config: watch::Receiver<sync::Arc<config::Snapshot>>,
    pub(super) hosts: hosts::Handle,
    /// The control thread.
    pub(super) scope: kernel::Scope,
    /// An actor that has ended leaves a closed channel behind, which is replaced when next asked.
    pub(super) actors: sync::Mutex<collections::HashMap<endpoints::Shard, Commands>>,
}

impl Local {
    /// Asks the scheduler of a shard at this daemon and waits for its answer.
    ///
    /// Fails if this daemon does not schedule the shard, or no longer.
    pub(super) async fn ask(
        &self,
        shard: &endpoints::Shard,
        ask: request::Ask,
    ) -> Result<Result<request::Permit, request::Refusal>, Lost> {
        if !self.links.is_own(shard) {
            return Err(Lost);
        }
        let commands = self.commands(shard);
        let asker = command::Asker::new(commands.clone(), ask.key.clone());
        let (reply, answer) = oneshot::channel();
        commands.send(command::Command::Ask(ask, reply)).map_err(|_| Lost)?;
        let answer = answer.await.map_err(|_| Lost)?;
        asker.answered();
        Ok(answer)
    }

    /// Passes a batch on to the scheduler of a shard at this daemon.
    pub(super) fn report(&self, shard: &endpoints::Shard, entries: Vec<Entry>) -> Result<(), Lost> {
        if !self.links.is_own(shard) {
            return Err(Lost);
        }
        self.commands(shard).send(command::Command::Entries(entries)).map_err(|_| Lost)
    }

    fn commands(&self, shard: &endpoints::Shard) -> Commands {
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

    fn start(&self, shard: &endpoints::Shard) -> Commands {
        let (commands, received) = mpsc::unbounded_channel();
        let (feed, fed) = mpsc::channel(FEED);
        let (handle, watcher) = endpoints::new(
            self.endpoints,
            shard.clone(),
            self.config.clone(),
            &self.hosts,
            self.clock.origin(),
            feed,
        );
        let actor = actor::Actor {
            shard: decide::Shard::new(self.settings.policy.clone(), self.links.own),
            name: shard.clone(),
            clock: self.clock,
            links: self.links.clone(),
            idle: self.settings.idle(),
            commands: received,
            feed: fed,
            watcher: handle,
            config: self.config.clone(),
            shares: shares::Shares::default(),
            waiting: collections::HashMap::new(),
            wake: None,
            coordinators: collections::HashSet::new(),
        };
        let token = self.scope.token().clone();
        log::info!(target: "schedule", "scheduling {}/{}", shard.pool, shard.number);
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
