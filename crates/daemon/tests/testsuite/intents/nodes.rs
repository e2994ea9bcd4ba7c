//! Several nodes with intent services in one process.

use std::{collections, net, sync, time};

use testbed::kv;
use tokio::task;
use tokio_util::sync as tokio_sync;
use trefoildyke_daemon::intents;
use trefoildyke_types::{error, id, request};
use trefoildyke_wire::{peer, platform};

/// The time limit of each wait in a test.
pub(super) const LONG: time::Duration = time::Duration::from_secs(30);

type Members = sync::Arc<sync::Mutex<collections::BTreeMap<id::Incarnation, Member>>>;

#[derive(Clone)]
struct Member {
    methods: sync::Arc<peer::Methods>,
    reach: Reachability,
}

/// How the other nodes reach a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reachability {
    /// Calls are answered.
    Open,
    /// Calls cannot be sent.
    Closed,
    /// Calls arrive, but their answers are lost.
    AnswersLost,
}

/// The node that a node considers the owner of every bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OwnerChoice {
    /// The node with the lowest incarnation.
    Lowest,
    /// The node itself.
    Itself,
}

/// A node with one intent service.
pub(super) struct Node {
    pub(super) own: id::Incarnation,
    pub(super) handle: intents::Handle,
    token: tokio_sync::CancellationToken,
    running: task::JoinHandle<()>,
}

/// The simulated key-value service, and the members that the nodes know.
pub(super) struct Nodes {
    pub(super) kv: kv::Running,
    pub(super) settings: intents::Settings,
    members: Members,
}

impl Nodes {
    /// Starts the simulated key-value service with high rate limits.
    pub(super) async fn new(settings: intents::Settings) -> Self {
        let high_rates = kv::Settings {
            writes_per_s: 100_000,
            reads_per_s: 100_000,
            delay: time::Duration::from_millis(1),
            ..kv::Settings::default()
        };
        let kv = kv::serve(high_rates).await.unwrap();
        Self { kv, settings, members: Members::default() }
    }

    /// Starts a node; node `number` calls the key-value service from its own address.
    pub(super) fn start(&self, number: u8, choice: OwnerChoice) -> Node {
        self.start_with(number, choice, self.settings)
    }

    /// Starts a node with the given settings.
    pub(super) fn start_with(
        &self,
        number: u8,
        choice: OwnerChoice,
        settings: intents::Settings,
    ) -> Node {
        let own = id::Incarnation::from_u64(u64::from(number));
        let client = platform::KvClient::new(platform::KvSettings {
            deadline: time::Duration::from_millis(settings.try_ms),
            local: Some(address(number)),
            ..platform::KvSettings::new(self.kv.address())
        });
        let route = self.route(own, choice);
        let (handle, service) = intents::create(settings, route, client).unwrap();
        let mut methods = peer::Methods::default();
        handle.serve_peers(&mut methods);
        let member = Member { methods: sync::Arc::new(methods), reach: Reachability::Open };
        self.members.lock().unwrap().insert(own, member);
        let token = tokio_sync::CancellationToken::new();
        let running = tokio::spawn(service.run(token.clone()));
        Node { own, handle, token, running }
    }

    /// Sets how the other nodes reach a node.
    pub(super) fn set_reach(&self, node: &Node, reach: Reachability) {
        self.members.lock().unwrap().get_mut(&node.own).unwrap().reach = reach;
    }

    fn route(&self, own: id::Incarnation, choice: OwnerChoice) -> intents::Route {
        let members = self.members.clone();
        let owners = move |_, count| {
            let known = members.lock().unwrap();
            let mut owners: Vec<_> = known.keys().copied().collect();
            if choice == OwnerChoice::Itself {
                owners.sort_by_key(|member| *member != own);
            }
            owners.truncate(count);
            owners
        };
        let (commits, look_ups) = (self.members.clone(), self.members.clone());
        let caller = peer::Caller { incarnation: own };
        intents::Route {
            own,
            owners: sync::Arc::new(owners),
            commit: sync::Arc::new(move |member, request, timeout| {
                let member = commits.lock().unwrap().get(&member).cloned();
                Box::pin(async move {
                    let member = member.ok_or_else(closed)?;
                    let call = (member.methods.commit)(caller, request);
                    deliver(member.reach, timeout, call).await
                })
            }),
            look_up: sync::Arc::new(move |member, key, timeout| {
                let member = look_ups.lock().unwrap().get(&member).cloned();
                Box::pin(async move {
                    let member = member.ok_or_else(closed)?;
                    let call = (member.methods.look_up)(caller, key);
                    deliver(member.reach, timeout, call).await
                })
            }),
        }
    }
}

async fn deliver<T>(
    reach: Reachability,
    timeout: time::Duration,
    call: impl Future<Output = Result<T, error::Error>>,
) -> Result<T, error::Error> {
    let lost = || error::Error::new(error::ErrorKind::Unsure, "no answer");
    match reach {
        Reachability::Open => tokio::time::timeout(timeout, call).await.map_err(|_| lost())?,
        Reachability::Closed => Err(closed()),
        Reachability::AnswersLost => {
            call.await?;
            Err(lost())
        }
    }
}

fn closed() -> error::Error {
    error::Error::new(error::ErrorKind::Unavailable, "the peer cannot be reached")
}

/// Returns the address from which node `number` calls.
pub(super) fn address(number: u8) -> net::IpAddr {
    net::IpAddr::from([127, 0, 0, number])
}

impl Node {
    /// Records an intent with this node as coordinator and with `nonce`.
    pub(super) async fn record(
        &self,
        key: &id::RequestKey,
        nonce: u64,
    ) -> trefoildyke_decide::coordinate::WriteOutcome {
        let record = self.intent(nonce);
        tokio::time::timeout(LONG, self.handle.record(key, &record)).await.unwrap()
    }

    pub(super) fn intent(&self, nonce: u64) -> request::Record {
        request::Record::Intent(request::Intent {
            coordinator: self.own,
            nonce: id::Nonce(nonce),
            endpoint: "tacoma-a-07".into(),
            fingerprint: 7,
        })
    }

    /// Stops the node and joins its tasks.
    pub(super) async fn stop(self) {
        self.token.cancel();
        tokio::time::timeout(LONG, self.running).await.unwrap().unwrap();
    }
}

/// Returns settings with a timeout long enough not to expire on a busy machine.
pub(super) fn long_timeouts() -> intents::Settings {
    intents::Settings { try_ms: 15_000, ..intents::Settings::default() }
}

/// Returns the key of a new request.
pub(super) fn key() -> id::RequestKey {
    let id = id::RequestId::chosen(uuid::Uuid::now_v7());
    id::RequestKey { account: "cascadia".into(), id }
}

/// Waits until a condition holds.
pub(super) async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = time::Instant::now();
    while !condition() {
        assert!(started.elapsed() < LONG, "{what}: not within {LONG:?}");
        tokio::time::sleep(time::Duration::from_millis(2)).await;
    }
}
