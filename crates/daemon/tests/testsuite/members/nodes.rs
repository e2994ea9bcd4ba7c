//! Nodes that have a membership and connections and nothing else.

use std::{net, time};

use tokio::sync::watch;
use trefoildyke_daemon::{clock, members as service, peers};
use trefoildyke_decide::members;
use trefoildyke_kernel as kernel;
use trefoildyke_types::id;
use trefoildyke_wire::peer;

pub(crate) const KEY: &str = "a key of 16 bytes or more";
pub(crate) const LONG: time::Duration = time::Duration::from_secs(40);

pub(crate) struct Node {
    pub(crate) incarnation: id::Incarnation,
    pub(crate) members: service::Handle,
    pub(crate) peers: peers::Handle,
    /// Where the node listens.
    pub(crate) address: net::SocketAddr,
    pub(crate) versions: watch::Sender<members::Versions>,
    scope: kernel::Scope,
}

/// How a node starts.
pub(crate) struct Start<'a> {
    pub(crate) number: u64,
    pub(crate) key: &'a str,
    pub(crate) seeds: Vec<net::SocketAddr>,
    pub(crate) listener: tokio::net::TcpListener,
    /// Where others are told to connect, if not to the listener.
    pub(crate) advertise: Option<net::SocketAddr>,
}

impl Start<'_> {
    pub(crate) async fn new(number: u64, seeds: &[net::SocketAddr]) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        Self { number, key: KEY, seeds: seeds.to_vec(), listener, advertise: None }
    }

    pub(crate) fn start(self, kernel: &kernel::Kernel) -> Node {
        let scope = kernel.traffic().child();
        let address = self.listener.local_addr().unwrap();
        let incarnation = id::Incarnation::new(self.number, 0);
        let place = members::Place {
            host: id::HostName::new(&format!("host-{}", self.number)),
            zone: id::ZoneName::new("zone"),
            peer: self.advertise.unwrap_or(address),
        };
        let keys = peer::Keys::new(&[self.key]).unwrap();
        let identity = peer::Identity { incarnation, keys };
        let (members, runner) = service::new(incarnation, place, params(), clock::Clock::start());
        let find = members.clone();
        let (peers, lost) = peers::new(
            identity.clone(),
            limits(),
            peers::Settings::default(),
            scope.clone(),
            move |incarnation| find.address(incarnation),
        );
        let mut methods = peer::Methods::default();
        members.serve_peers(&peers, &mut methods);
        let (versions, own) = watch::channel(members::Versions::default());
        let sources = service::Sources {
            peers: peers.clone(),
            lost,
            versions: own,
            hosts: None,
            seeds: self.seeds,
        };
        let stop = scope.token().clone();
        let server = peer::serve(self.listener, identity, limits(), methods, stop.clone());
        scope.spawn("peer server", server);
        scope.spawn("members", async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = runner.run(sources) => {}
            }
            Ok::<_, std::convert::Infallible>(())
        });
        Node { incarnation, members, peers, address, versions, scope }
    }
}

impl Node {
    /// Ends the node as if its process were killed.
    pub(crate) async fn kill(&self) {
        assert!(self.scope.close(LONG).await);
    }

    /// Gives this node a configuration version.
    pub(crate) fn configure(&self, config: u64) {
        self.versions.send_replace(members::Versions { config, settled: 0 });
    }

    pub(crate) fn state_of(&self, other: &Self) -> Option<members::State> {
        self.members.view().find(other.incarnation).map(|member| member.state)
    }

    /// Waits until the view of this node satisfies `done`.
    pub(crate) async fn sees(&self, done: impl Fn(&members::View) -> bool) {
        let mut views = self.members.subscribe();
        let wait = views.wait_for(|view| done(view));
        let seen = tokio::time::timeout(LONG, wait).await.is_ok();
        assert!(seen, "{} sees {:?}", self.incarnation, self.members.view());
    }

    /// Waits until this node sees exactly `nodes` as alive.
    pub(crate) async fn sees_alive(&self, nodes: &[&Self]) {
        let mut expected: Vec<_> = nodes.iter().map(|node| node.incarnation).collect();
        expected.sort_unstable();
        self.sees(|view| {
            view.alive().map(|member| member.incarnation).eq(expected.iter().copied())
        })
        .await;
    }
}

/// Starts nodes that know the first one as their seed, and waits until all see all.
pub(crate) async fn start(kernel: &kernel::Kernel, count: u64) -> Vec<Node> {
    let mut nodes: Vec<Node> = Vec::new();
    for number in 1..=count {
        let seeds: Vec<_> = nodes.iter().take(1).map(|node| node.address).collect();
        nodes.push(Start::new(number, &seeds).await.start(kernel));
    }
    let all: Vec<_> = nodes.iter().collect();
    for node in &nodes {
        node.sees_alive(&all).await;
    }
    nodes
}

pub(crate) fn kernel() -> kernel::Kernel {
    kernel::Kernel::builder().start().unwrap()
}

/// Short intervals, so that the tests are short; a pause is never concluded on a busy machine.
fn params() -> members::Params {
    members::Params {
        period: time::Duration::from_millis(150),
        suspicion: time::Duration::from_millis(1_000),
        suspicion_step: time::Duration::from_millis(100),
        reconnect: time::Duration::from_millis(500),
        settle: time::Duration::from_millis(500),
        pause: time::Duration::from_secs(60),
        ..members::Params::default()
    }
}

pub(crate) fn limits() -> peer::Limits {
    peer::Limits {
        heartbeat_ms: 100,
        silence_ms: 1_000,
        idle_heartbeat_ms: 300,
        idle_silence_ms: 3_000,
        ..peer::Limits::default()
    }
}
