//! Several daemons' records around one key-value stand-in that runs on a thread of its own.

use std::{sync, time};

use tokio::{runtime, task};
use tokio_util::sync as tokio_sync;
use trefoildyke_daemon::intents;
use trefoildyke_types::{error, id};
use trefoildyke_wire::{peer, platform};

use crate::kv;

/// How long a call between two daemons takes one way.
const ONE_WAY: time::Duration = time::Duration::from_millis(1);

/// How long the key-value stand-in takes for each call.
const KV_DELAY: time::Duration = time::Duration::from_millis(3);

type Methods = sync::Arc<sync::OnceLock<Vec<peer::Methods>>>;

/// Holds the daemons and the stand-in.
pub(super) struct Cluster {
    pub(super) handles: Vec<intents::Handle>,
    pub(super) kv: kv::Running,
    token: tokio_sync::CancellationToken,
    services: task::JoinSet<()>,
}

impl Cluster {
    /// Starts the stand-in on `kv_runtime` and `daemons` daemons on the current runtime.
    pub(super) async fn start(
        kv_runtime: &runtime::Handle,
        daemons: u64,
        settings: intents::Settings,
    ) -> anyhow::Result<Self> {
        let unlimited = kv::Settings {
            writes_per_s: 1_000_000,
            reads_per_s: 1_000_000,
            delay: KV_DELAY,
            ..kv::Settings::default()
        };
        let kv = kv_runtime.spawn(kv::serve(unlimited)).await??;
        let methods = Methods::default();
        let token = tokio_sync::CancellationToken::new();
        let mut services = task::JoinSet::new();
        let mut handles = Vec::new();
        for number in 0..daemons {
            let client = platform::KvClient::new(platform::KvSettings::new(kv.address()));
            let route = route(number, daemons, &methods);
            let (handle, service) = intents::create(settings, route, client)?;
            services.spawn(service.run(token.clone()));
            handles.push(handle);
        }
        let served = handles.iter().map(|handle| {
            let mut methods = peer::Methods::default();
            handle.serve_peers(&mut methods);
            methods
        });
        methods.get_or_init(|| served.collect());
        Ok(Self { handles, kv, token, services })
    }

    /// Stops everything and joins its tasks.
    pub(super) async fn stop(mut self) {
        self.token.cancel();
        while self.services.join_next().await.is_some() {}
        self.kv.stop().await;
    }
}

fn route(number: u64, daemons: u64, methods: &Methods) -> intents::Route {
    let own = id::Incarnation::from_u64(number);
    let caller = peer::Caller { incarnation: own };
    let (commits, look_ups) = (methods.clone(), methods.clone());
    intents::Route {
        own,
        owners: sync::Arc::new(move |key, count| {
            let all =
                (0..daemons).map(|n| id::Incarnation::from_u64(key.wrapping_add(n) % daemons));
            all.take(count).collect()
        }),
        commit: sync::Arc::new(move |member, request, timeout| {
            let methods = commits.clone();
            Box::pin(async move {
                let call = find(&methods, member)?.commit.clone();
                deliver(timeout, call(caller, request)).await
            })
        }),
        look_up: sync::Arc::new(move |member, key, timeout| {
            let methods = look_ups.clone();
            Box::pin(async move {
                let call = find(&methods, member)?.look_up.clone();
                deliver(timeout, call(caller, key)).await
            })
        }),
    }
}

fn find(methods: &Methods, member: id::Incarnation) -> Result<&peer::Methods, error::Error> {
    let index = usize::try_from(member.as_u64()).unwrap_or(usize::MAX);
    methods.get().and_then(|methods| methods.get(index)).ok_or_else(|| {
        error::Error::new(error::ErrorKind::Unavailable, "the peer cannot be reached")
    })
}

async fn deliver<T>(
    timeout: time::Duration,
    call: impl Future<Output = Result<T, error::Error>>,
) -> Result<T, error::Error> {
    let there_and_back = async {
        tokio::time::sleep(ONE_WAY).await;
        let answer = call.await;
        tokio::time::sleep(ONE_WAY).await;
        answer
    };
    let lost = |_| error::Error::new(error::ErrorKind::Unsure, "no answer in time");
    tokio::time::timeout(timeout, there_and_back).await.map_err(lost)?
}
