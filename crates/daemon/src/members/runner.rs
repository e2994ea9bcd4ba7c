//! The task that runs the membership protocol.

use std::{collections, net, sync, time};

use tokio::{
    sync::{mpsc, oneshot, watch},
    task,
};
use trefoildyke_decide::members;
use trefoildyke_types::{error, id};
use trefoildyke_wire::{peer, platform::message};

use crate::{
    clock, config, hosts,
    members::{ReachedVersions, Sources, command, handle},
    peers,
};

/// The interval between the ticks of the membership protocol.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// The timeout of a digest exchange, including opening a connection.
const EXCHANGE_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// The timeout of an indirect probe: the ping by the helper, and the call to the helper.
const INDIRECT_PROBE_TIMEOUT: time::Duration =
    handle::PROBE_TIMEOUT.saturating_add(time::Duration::from_millis(800));

/// The task that runs the membership protocol; run it on the control thread.
#[must_use = "a handle does nothing until the task runs"]
pub struct Runner {
    pub(super) clock: clock::Clock,
    pub(super) membership: members::Membership,
    pub(super) commands: mpsc::Receiver<command::Command>,
    pub(super) views: watch::Sender<sync::Arc<members::View>>,
    pub(super) newest_version: watch::Sender<Option<config::AnnouncedVersion>>,
    pub(super) in_force: watch::Sender<ReachedVersions>,
    pub(super) last_contact: watch::Sender<Option<tokio::time::Instant>>,
}

impl Runner {
    /// Runs until every handle is dropped.
    ///
    /// Dropping the future cancels the task and its calls.
    pub async fn run(mut self, mut sources: Sources) {
        let mut calls = task::JoinSet::new();
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut reads = sources.hosts.as_ref().map(hosts::Handle::subscribe);
        self.set_seeds(&sources, &mut calls);
        self.set_versions(&mut sources, &mut calls);
        loop {
            tokio::select! {
                command = self.commands.recv() => match command {
                    Some(command) => self.handle_command(command, &sources.peers, &mut calls),
                    None => return,
                },
                _ = tick.tick() => {
                    let random = rand::random();
                    self.step(members::Input::Tick { random }, &sources.peers, &mut calls);
                }
                Some(ended) = calls.join_next() => {
                    if let Ok(input) = ended {
                        self.step(input, &sources.peers, &mut calls);
                    }
                }
                Some(failed) = sources.failed_peers.recv() => {
                    let input = members::Input::Failed(members::Target::Member(failed));
                    self.step(input, &sources.peers, &mut calls);
                }
                Ok(()) = sources.versions.changed() => self.set_versions(&mut sources, &mut calls),
                true = hosts_changed(&mut reads) => self.set_seeds(&sources, &mut calls),
            }
        }
    }

    fn handle_command(
        &mut self,
        command: command::Command,
        peers: &peers::Handle,
        calls: &mut task::JoinSet<members::Input>,
    ) {
        match command {
            command::Command::Leave => self.step(members::Input::Leave, peers, calls),
            command::Command::Received(digest, reply) => {
                self.receive(digest, reply, peers, calls);
            }
        }
    }

    fn receive(
        &mut self,
        digest: members::Digest,
        reply: oneshot::Sender<members::Digest>,
        peers: &peers::Handle,
        calls: &mut task::JoinSet<members::Input>,
    ) {
        let mut reply = Some(reply);
        let outputs =
            self.membership.step(self.clock.monotonic(), members::Input::Received(digest));
        for output in outputs {
            match (output, reply.take()) {
                (members::Output::Answer(answer), Some(reply)) => {
                    // The receiver is gone if the call of the peer was cancelled.
                    let _ = reply.send(answer);
                }
                (output, waiting) => {
                    reply = waiting;
                    self.handle_output(output, peers, calls);
                }
            }
        }
        self.publish_contact();
    }

    fn step(
        &mut self,
        input: members::Input,
        peers: &peers::Handle,
        calls: &mut task::JoinSet<members::Input>,
    ) {
        for output in self.membership.step(self.clock.monotonic(), input) {
            self.handle_output(output, peers, calls);
        }
        self.publish_contact();
    }

    fn handle_output(
        &self,
        output: members::Output,
        peers: &peers::Handle,
        calls: &mut task::JoinSet<members::Input>,
    ) {
        match output {
            members::Output::Exchange { target, digest } => {
                calls.spawn(exchange(peers.clone(), target, digest));
            }
            members::Output::Probe { via, target } => {
                calls.spawn(probe(peers.clone(), via, target));
            }
            members::Output::Pull { from: incarnation, version } => {
                self.newest_version
                    .send_replace(Some(config::AnnouncedVersion { version, incarnation }));
            }
            members::Output::Changed => self.publish(),
            // `receive` sends answers back to the peer.
            members::Output::Answer(_) => {}
        }
    }

    fn publish(&self) {
        let members = self.membership.members_hash();
        let versions = self.membership.in_force();
        self.in_force.send_if_modified(|known| {
            let now = ReachedVersions { versions, members };
            std::mem::replace(known, now) != now
        });
        if self.views.borrow().version != self.membership.version() {
            self.views.send_replace(sync::Arc::new(self.membership.view()));
        }
    }

    fn publish_contact(&self) {
        let last_contact = self.membership.last_contact().map(|at| self.clock.instant(at));
        self.last_contact
            .send_if_modified(|known| std::mem::replace(known, last_contact) != last_contact);
    }

    fn set_versions(&mut self, sources: &mut Sources, calls: &mut task::JoinSet<members::Input>) {
        let versions = *sources.versions.borrow_and_update();
        self.step(members::Input::Versions(versions), &sources.peers, calls);
    }

    fn set_seeds(&mut self, sources: &Sources, calls: &mut task::JoinSet<members::Input>) {
        let mut seeds: collections::BTreeSet<_> = sources.seeds.iter().copied().collect();
        let list = sources.hosts.as_ref().and_then(hosts::Handle::list);
        seeds.extend(list.iter().flat_map(|list| peer_addresses(list)));
        let seeds = seeds.into_iter().collect();
        self.step(members::Input::Seeds(seeds), &sources.peers, calls);
    }
}

fn peer_addresses(list: &message::HostList) -> impl Iterator<Item = net::SocketAddr> {
    let live = |host: &&message::Host| host.state == message::HostState::Live;
    list.hosts.iter().filter(live).filter_map(|host| host.peer)
}

/// Waits for the next reading of the host list; waits forever if there is no list.
async fn hosts_changed(reads: &mut Option<watch::Receiver<Option<hosts::HostsRead>>>) -> bool {
    if let Some(reads) = reads
        && reads.changed().await.is_ok()
    {
        return true;
    }
    std::future::pending().await
}

async fn exchange(
    peers: peers::Handle,
    target: members::Target,
    digest: members::Digest,
) -> members::Input {
    match tokio::time::timeout(EXCHANGE_TIMEOUT, send(&peers, target, &digest)).await {
        Ok(Ok(digest)) => members::Input::Answered { target, digest },
        Ok(Err(error)) => {
            log::debug!(target: "members", "digest exchange with {target:?} failed: {error}");
            members::Input::Failed(target)
        }
        Err(_) => members::Input::Failed(target),
    }
}

async fn send(
    peers: &peers::Handle,
    target: members::Target,
    digest: &members::Digest,
) -> Result<members::Digest, error::Error> {
    let client = match target {
        members::Target::Member(incarnation) => peers.client(incarnation).await?,
        members::Target::Address(address) => peers.client_at(address).await?,
    };
    let payload = peer::Payload::encode(digest)?;
    let answer = client.exchange(peer::within(EXCHANGE_TIMEOUT), payload).await;
    let answer = answer.map_err(|error| unavailable(&error))??;
    Ok(answer.decode()?)
}

async fn probe(
    peers: peers::Handle,
    via: id::Incarnation,
    target: id::Incarnation,
) -> members::Input {
    let ask = async {
        let client = peers.client(via).await.ok()?;
        client.probe(peer::within(INDIRECT_PROBE_TIMEOUT), target).await.ok()?.ok()
    };
    let reached = tokio::time::timeout(INDIRECT_PROBE_TIMEOUT, ask).await.unwrap_or_default();
    members::Input::Probed { target, reached }
}

fn unavailable(error: &tarpc::client::RpcError) -> error::Error {
    error::Error::new(error::ErrorKind::Unavailable, error.to_string())
}
