//! The actor that runs one shard's scheduler on the control thread.

use std::{collections, sync};

use tokio::{
    sync::{mpsc, watch},
    time,
};
use trefoildyke_decide::{config, members, schedule as decide};
use trefoildyke_types::{id, request, time::Timestamp};

use crate::{
    clock, endpoints,
    schedule::{self, SchedulerCalls, command, shares},
};

/// How often to check whether the state of the endpoints is current again.
const RECHECK_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Runs the scheduler of one shard.
pub(super) struct Actor {
    pub(super) shard: decide::Shard,
    pub(super) name: endpoints::Shard,
    pub(super) clock: clock::Clock,
    pub(super) scheduler_calls: SchedulerCalls,
    pub(super) idle: time::Duration,
    pub(super) commands: mpsc::UnboundedReceiver<command::Command>,
    pub(super) feed: mpsc::Receiver<decide::Input>,
    pub(super) watcher: endpoints::Handle,
    pub(super) config: watch::Receiver<sync::Arc<config::Snapshot>>,
    pub(super) shares: shares::Shares,
    /// The askers that wait for an answer; two coordinators may ask for the same request.
    pub(super) waiting: collections::HashMap<id::RequestKey, Vec<command::Reply>>,
    pub(super) wake_at: Option<Timestamp>,
    /// The coordinators that have asked or reported and are not known to be lost.
    pub(super) coordinators: collections::HashSet<id::Incarnation>,
}

impl Actor {
    /// Runs until another daemon schedules the shard and no work is left here.
    pub(super) async fn run(mut self) {
        self.read_config();
        let mut view = self.scheduler_calls.view.clone();
        let mut idle_since = None;
        loop {
            let wake_at = self.wake_at.map(|at| self.clock.instant(at));
            // No permit is granted while the state of the endpoints is outdated, such as after a pause of
            // the process.
            let is_current = self.watcher.is_current();
            tokio::select! {
                biased;
                Some(input) = self.feed.recv() => self.step(input),
                Ok(()) = self.config.changed() => self.read_config(),
                Ok(()) = view.changed() => {
                    if !self.scheduler_calls.is_scheduled_here(&self.name) {
                        break;
                    }
                    self.release_lost();
                }
                () = sleep_until(wake_at), if is_current => self.tick(),
                command = self.commands.recv(), if is_current => match command {
                    Some(command) => self.handle_command(command),
                    None => break,
                },
                () = time::sleep(RECHECK_INTERVAL), if !is_current => {}
                () = time::sleep(self.idle) => {}
            }
            if !self.is_idle() {
                idle_since = None;
            } else if idle_since.get_or_insert_with(time::Instant::now).elapsed() >= self.idle {
                break;
            }
        }
    }

    fn is_idle(&self) -> bool {
        let empty = self.waiting.is_empty() && self.shard.permitted_count() == 0;
        empty && !self.scheduler_calls.is_scheduled_here(&self.name)
    }

    fn read_config(&mut self) {
        let snapshot = sync::Arc::clone(&self.config.borrow_and_update());
        for share in self.shares.update(&snapshot) {
            self.step(decide::Input::Account(share));
        }
    }

    /// Releases the permits of lost coordinators.
    ///
    /// A coordinator in state `Leaving` keeps its permits, because it still finishes its work.
    fn release_lost(&mut self) {
        let view = sync::Arc::clone(&self.scheduler_calls.view.borrow());
        let is_lost = |coordinator: &id::Incarnation| {
            let member = view.find(*coordinator);
            member.is_none_or(|member| {
                matches!(member.state, members::State::Dead | members::State::Suspect)
            })
        };
        for coordinator in self.coordinators.extract_if(is_lost).collect::<Vec<_>>() {
            log::info!(target: "schedule", "coordinator {coordinator} is lost; releasing permits");
            self.step(decide::Input::CoordinatorLost(coordinator));
        }
    }

    fn tick(&mut self) {
        self.wake_at = None;
        self.step(decide::Input::Tick);
    }

    fn handle_command(&mut self, command: command::Command) {
        match command {
            command::Command::Ask(ask, reply) => {
                self.coordinators.insert(ask.coordinator);
                self.waiting.entry(ask.key.clone()).or_default().push(reply);
                self.step(decide::Input::Ask(ask));
            }
            command::Command::AskerGone(key) => self.asker_gone(key),
            command::Command::Entries(entries) => {
                for entry in entries {
                    if let schedule::Entry::Adopt(taken_over) = &entry {
                        self.coordinators.insert(taken_over.ask.coordinator);
                    }
                    self.step(entry.into());
                }
            }
        }
    }

    fn asker_gone(&mut self, key: id::RequestKey) {
        let report = match self.waiting.get_mut(&key) {
            None => decide::Report::HandBack { key },
            Some(replies) => {
                replies.retain(|reply| !reply.is_closed());
                if !replies.is_empty() {
                    return;
                }
                self.waiting.remove(&key);
                decide::Report::Cancel { key }
            }
        };
        self.step(decide::Input::Report(report));
    }

    fn step(&mut self, input: decide::Input) {
        let mut inputs = collections::VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            for output in self.shard.step(self.clock.monotonic(), input) {
                inputs.extend(self.handle_output(output));
            }
        }
    }

    /// Carries out an output; returns an input for the scheduler if the output leads to one.
    fn handle_output(&mut self, output: decide::Output) -> Option<decide::Input> {
        match output {
            decide::Output::Grant(permit) => self.grant(permit),
            decide::Output::Shed { key, refusal } => {
                self.answer(&key, &Err(refusal));
                None
            }
            decide::Output::Probe(endpoint) => {
                self.watcher.probe(&endpoint);
                None
            }
            decide::Output::WakeAt(at) => {
                self.wake_at = Some(at);
                None
            }
        }
    }

    fn grant(&mut self, permit: request::Permit) -> Option<decide::Input> {
        let key = permit.key.clone();
        if self.answer(&key, &Ok(permit)) {
            return None;
        }
        Some(decide::Input::Report(decide::Report::HandBack { key }))
    }

    /// Answers every asker of the request; returns whether any asker received the answer.
    fn answer(
        &mut self,
        key: &id::RequestKey,
        answer: &Result<request::Permit, request::Refusal>,
    ) -> bool {
        let replies = self.waiting.remove(key).unwrap_or_default();
        let received = replies.into_iter().filter_map(|reply| reply.send(answer.clone()).ok());
        received.count() > 0
    }
}

async fn sleep_until(at: Option<time::Instant>) {
    match at {
        Some(at) => time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
