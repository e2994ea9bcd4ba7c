//! Test nodes with short intervals, and helpers that wait for their views.

use std::{net, ops, time};

use testbed::member;
use trefoildyke_decide::members;
use trefoildyke_kernel as kernel;
use trefoildyke_wire::peer;

pub(crate) const KEY: &str = "a key of 16 bytes or more";
pub(crate) const LONG: time::Duration = time::Duration::from_secs(40);

/// A test node; dereferences to [`member::Node`].
pub(crate) struct Node(member::Node);

impl ops::Deref for Node {
    type Target = member::Node;

    fn deref(&self) -> &Self::Target {
        &self.0
    }
}

/// Prepares a node with short intervals.
pub(crate) async fn prepare(number: u64, seeds: &[net::SocketAddr]) -> member::Start {
    let mut start = member::Start::new(number, keys(KEY)).await.unwrap();
    start.seeds = seeds.to_vec();
    start.params = params();
    start.limits = limits();
    start
}

pub(crate) fn keys(key: &str) -> peer::Keys {
    peer::Keys::new(&[key]).unwrap()
}

pub(crate) fn run(start: member::Start, kernel: &kernel::Kernel) -> Node {
    Node(start.start(kernel).unwrap())
}

impl Node {
    /// Ends the node abruptly, as if its process were killed.
    pub(crate) async fn kill(&self) {
        assert!(self.0.kill(LONG).await);
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

/// Starts nodes with the first one as their seed, and waits until each one sees all of them as alive.
pub(crate) async fn start(kernel: &kernel::Kernel, count: u64) -> Vec<Node> {
    let mut nodes: Vec<Node> = Vec::new();
    for number in 1..=count {
        let seeds: Vec<_> = nodes.iter().take(1).map(|node| node.address).collect();
        nodes.push(run(prepare(number, &seeds).await, kernel));
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

/// Returns parameters with short intervals, so that the tests are short. The `pause` is long, so that a
/// delay on a busy machine is not mistaken for a pause of the process.
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

fn limits() -> peer::Limits {
    peer::Limits {
        heartbeat_ms: 100,
        silence_ms: 1_000,
        idle_heartbeat_ms: 300,
        idle_silence_ms: 3_000,
        ..peer::Limits::default()
    }
}
