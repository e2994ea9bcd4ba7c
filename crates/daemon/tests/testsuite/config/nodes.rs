//! Configuration services that are peers of each other.

use std::{collections, sync, time};

use futures::FutureExt as _;
use testbed::{kv, switch};
use tokio::{sync::watch, task};
use trefoildyke_daemon::config as service;
use trefoildyke_decide::{config, members};
use trefoildyke_types::{error, id, resource};
use trefoildyke_wire::{peer, platform};

/// The time limit of each wait; much longer than expected, to allow for a busy machine.
const WAIT_LIMIT: time::Duration = time::Duration::from_secs(30);

type Handles = sync::Arc<sync::Mutex<collections::BTreeMap<id::Incarnation, service::Handle>>>;

/// A node with one configuration service.
pub(crate) struct Node {
    pub(crate) handle: service::Handle,
    incarnation: id::Incarnation,
    _tasks: task::JoinSet<()>,
}

/// Nodes that call each other directly, and their simulated key-value service.
pub(crate) struct Nodes {
    pub(crate) kv: kv::Running,
    settings: service::Settings,
    view: watch::Sender<sync::Arc<members::View>>,
    handles: Handles,
    started: u64,
}

impl Nodes {
    pub(crate) async fn new(settings: service::Settings) -> Self {
        let unlimited =
            kv::Settings { writes_per_s: 100_000, reads_per_s: 100_000, ..kv::Settings::default() };
        Self {
            kv: kv::serve(unlimited).await.unwrap(),
            settings,
            view: watch::Sender::default(),
            handles: Handles::default(),
            started: 0,
        }
    }

    /// Starts a node; the nodes announce their versions to each other.
    pub(crate) fn start(&mut self) -> Node {
        self.start_from(None)
    }

    /// Starts a node that calls the key-value service from `local`.
    pub(crate) fn start_from(&mut self, local: Option<std::net::IpAddr>) -> Node {
        self.started += 1;
        let incarnation = id::Incarnation::from_u64(self.started);
        let kv = platform::KvSettings { local, ..platform::KvSettings::new(self.kv.address()) };
        let kv = platform::KvSettings { deadline: time::Duration::from_secs(5), ..kv };
        let client = platform::KvClient::new(kv);
        let (handle, keeper) = service::new(self.settings.clone(), client);
        let mut tasks = task::JoinSet::new();
        tasks.spawn(keeper.run());
        let (announce, newest) = watch::channel(None);
        tasks.spawn(announce_highest(sync::Arc::clone(&self.handles), incarnation, announce));
        self.handles.lock().unwrap().insert(incarnation, handle.clone());
        self.join(incarnation);
        let view = self.view.subscribe();
        let request_changes = request_changes_from(sync::Arc::clone(&self.handles));
        tasks.spawn(handle.clone().follow(service::Peers {
            own: incarnation,
            view,
            newest,
            request_changes,
        }));
        Node { handle, incarnation, _tasks: tasks }
    }

    /// Removes a node, as if it had crashed.
    pub(crate) fn kill(&self, node: &Node) {
        self.handles.lock().unwrap().remove(&node.incarnation);
        self.view.send_modify(|view| {
            let mut next = members::View::clone(view);
            next.members.retain(|member| member.incarnation != node.incarnation);
            *view = sync::Arc::new(next);
        });
    }

    pub(crate) fn mode(&self, mode: switch::ModeKind) {
        self.kv.set_mode(switch::Mode::new(mode));
    }

    fn join(&self, incarnation: id::Incarnation) {
        self.view.send_modify(|view| {
            let mut next = members::View::clone(view);
            next.members.push(members::Member {
                host: id::HostName::new(&incarnation.to_string()),
                incarnation,
                zone: id::ZoneName::new("salem"),
                peer: ([127, 0, 0, 1], 1).into(),
                state: members::State::Alive,
            });
            *view = sync::Arc::new(next);
        });
    }
}

/// Announces the highest version of the other nodes to one node, as heartbeats do.
async fn announce_highest(
    handles: Handles,
    own: id::Incarnation,
    announce: watch::Sender<Option<service::AnnouncedVersion>>,
) {
    let mut tick = tokio::time::interval(time::Duration::from_millis(20));
    loop {
        tick.tick().await;
        let others = handles.lock().unwrap().clone();
        let versions = others.into_iter().filter(|(incarnation, _)| *incarnation != own).map(
            |(incarnation, handle)| service::AnnouncedVersion {
                version: handle.snapshot().version(),
                incarnation,
            },
        );
        let highest = versions.max_by_key(|newest| newest.version);
        announce.send_if_modified(|seen| std::mem::replace(seen, highest) != highest);
    }
}

fn request_changes_from(handles: Handles) -> service::RequestChanges {
    sync::Arc::new(move |incarnation, request: peer::ChangesRequest| {
        let handle = handles.lock().unwrap().get(&incarnation).cloned();
        async move {
            match handle {
                Some(handle) => handle.answer(request).await,
                None => Err(error::Error::new(error::ErrorKind::Unavailable, "the peer is gone")),
            }
        }
        .boxed()
    })
}

/// Waits until the node has a version in force.
pub(crate) async fn reaches(node: &Node, version: u64) {
    let mut snapshots = node.handle.subscribe();
    let reached = snapshots.wait_for(|snapshot| snapshot.version() >= version);
    tokio::time::timeout(WAIT_LIMIT, reached).await.expect("in time").unwrap();
}

/// Returns a change that puts a tier in place of its current `resource_version`.
pub(crate) fn tier(rank: u8, deadline_ms: u64, resource_version: u64) -> config::ChangeSet {
    config::ChangeSet::put(resource::Resource {
        name: format!("t{rank}"),
        spec: resource::Spec::Tier(resource::TierSpec { rank, deadline_ms }),
        generation: 0,
        resource_version,
        status: None,
    })
}

/// Returns the deadline of a tier in the configuration in force on a node.
pub(crate) fn deadline(node: &Node, rank: u8) -> Option<u64> {
    let name = id::TierName::new(&format!("t{rank}"));
    node.handle.snapshot().tier(&name).map(|tier| tier.deadline_ms)
}

/// Returns settings with short waits for tests.
pub(crate) fn settings() -> service::Settings {
    service::Settings { watchers: 1, retry_ms: 50, poll_ms: 50, ..service::Settings::default() }
}
