//! Starts and stops the stand-in.

use std::{io, net, sync, time};

use tokio::{sync::watch, task};
use trefoildyke_wire::{http, platform::message};

use crate::kv::{handler, rate, store};
use crate::{kv, switch};

/// How often leases are checked.
const TICK: time::Duration = time::Duration::from_millis(10);

/// Holds a stand-in that runs until it is stopped or dropped.
#[derive(Debug)]
pub struct Running {
    server: http::Server,
    shared: sync::Arc<Shared>,
    ticking: task::JoinSet<()>,
}

/// What all calls share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: kv::Settings,
    pub(crate) switch: switch::Switch,
    pub(crate) state: sync::Mutex<State>,
    /// The highest revision, for waiting watches.
    pub(crate) revision: watch::Sender<u64>,
}

/// What changes from call to call.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) store: store::Store,
    pub(crate) stats: kv::Stats,
    pub(crate) writes: rate::Rate,
    pub(crate) reads: rate::Rate,
}

/// Starts the stand-in on the current runtime.
pub async fn serve(settings: kv::Settings) -> io::Result<Running> {
    let listener = tokio::net::TcpListener::bind(settings.listen).await?;
    let now = time::Instant::now();
    let state = State {
        store: store::Store::new(settings.history),
        stats: kv::Stats::default(),
        writes: rate::Rate::new(settings.writes_per_s, now),
        reads: rate::Rate::new(settings.reads_per_s, now),
    };
    let shared = sync::Arc::new(Shared {
        settings,
        switch: switch::Switch::default(),
        state: sync::Mutex::new(state),
        revision: watch::Sender::new(0),
    });
    let answering = sync::Arc::clone(&shared);
    let server = http::Server::start(listener, http::ServerLimits::default(), move |call| {
        handler::answer(sync::Arc::clone(&answering), call)
    })?;
    let mut ticking = task::JoinSet::new();
    ticking.spawn(expire_leases(sync::Arc::clone(&shared)));
    Ok(Running { server, shared, ticking })
}

impl Running {
    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Sets how the stand-in behaves.
    pub fn set_mode(&self, mode: switch::Mode) {
        self.shared.switch.set(mode);
    }

    /// Returns what has been counted.
    pub fn stats(&self) -> kv::Stats {
        self.shared.lock().stats
    }

    /// Returns the entries below a prefix, past all limits and modes.
    pub fn entries(&self, prefix: &str) -> Vec<message::Entry> {
        let list =
            message::List { prefix: prefix.to_owned(), after: String::new(), limit: usize::MAX };
        self.shared.lock().store.list(&list).entries
    }

    /// Stops at once and joins every task.
    pub async fn stop(mut self) {
        self.ticking.shutdown().await;
        self.server.stop(time::Duration::ZERO).await;
    }
}

impl Shared {
    pub(crate) fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Changes the keys and wakes the watches.
    pub(crate) fn change<T>(&self, change: impl FnOnce(&mut store::Store) -> T) -> T {
        let mut state = self.lock();
        let result = change(&mut state.store);
        let revision = state.store.revision();
        self.revision.send_if_modified(|seen| std::mem::replace(seen, revision) != revision);
        result
    }
}

async fn expire_leases(shared: sync::Arc<Shared>) {
    let mut tick = tokio::time::interval(TICK);
    loop {
        tick.tick().await;
        shared.change(|store| store.expire(time::Instant::now()));
    }
}
