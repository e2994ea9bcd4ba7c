//! Starts and stops the stand-in and answers its calls.

use std::{io, net, sync, time};

use hyper::{Method, StatusCode};
use trefoildyke_wire::{http, platform::message};

use crate::hosts::history;
use crate::{hosts, switch};

const MAX_BODY: usize = 1 << 20;
const BODY_WAIT: time::Duration = time::Duration::from_secs(10);

/// Holds a stand-in that runs until it is stopped or dropped.
#[derive(Debug)]
pub struct Running {
    server: http::Server,
    shared: sync::Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    lag: time::Duration,
    switch: switch::Switch,
    history: sync::Mutex<history::History>,
}

/// Starts the stand-in on the current runtime.
pub async fn serve(settings: hosts::Settings) -> io::Result<Running> {
    let listener = tokio::net::TcpListener::bind(settings.listen).await?;
    let shared = sync::Arc::new(Shared {
        lag: settings.lag,
        switch: switch::Switch::default(),
        history: sync::Mutex::new(history::History::new(settings.lag, settings.hosts)),
    });
    let answering = sync::Arc::clone(&shared);
    let server = http::Server::start(listener, http::ServerLimits::default(), move |call| {
        answer(sync::Arc::clone(&answering), call)
    })?;
    Ok(Running { server, shared })
}

impl Running {
    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Sets the hosts that are true from now on and shown after the lag.
    pub fn set_hosts(&self, hosts: Vec<message::Host>) {
        self.shared.lock().set(hosts, time::Instant::now());
    }

    /// Sets how the stand-in behaves.
    pub fn set_mode(&self, mode: switch::Mode) {
        self.shared.switch.set(mode);
    }

    /// Stops at once and joins every task.
    pub async fn stop(self) {
        self.server.stop(time::Duration::ZERO).await;
    }
}

impl Shared {
    fn lock(&self) -> sync::MutexGuard<'_, history::History> {
        self.history.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn list(&self) -> message::HostList {
        let as_of = time::SystemTime::now() - self.lag;
        let as_of = as_of.duration_since(time::UNIX_EPOCH).unwrap_or_default();
        message::HostList {
            hosts: self.lock().show(time::Instant::now()).to_vec(),
            as_of_ms: u64::try_from(as_of.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

async fn answer(
    shared: sync::Arc<Shared>,
    call: http::Call,
) -> Result<hyper::Response<http::Body>, http::Aborted> {
    let (head, body) = call.request.into_parts();
    match (&head.method, head.uri.path()) {
        (&Method::GET, "/v1/hosts") => {
            let mode = shared.switch.meet(call.source.ip(), false);
            match mode.mode {
                switch::ModeKind::Down => return Ok(empty(StatusCode::SERVICE_UNAVAILABLE)),
                switch::ModeKind::Silent => return std::future::pending().await,
                _ => tokio::time::sleep(time::Duration::from_millis(mode.delay_ms)).await,
            }
            Ok(http::json(StatusCode::OK, &shared.list()))
        }
        (&Method::POST, "/admin/hosts") => {
            let list = http::read_json::<message::HostList>(body, MAX_BODY, BODY_WAIT).await;
            Ok(list.map_or_else(
                |error| http::json(StatusCode::BAD_REQUEST, &error),
                |list| {
                    shared.lock().set(list.hosts, time::Instant::now());
                    empty(StatusCode::OK)
                },
            ))
        }
        (&Method::POST, "/admin/mode") => {
            let mode = http::read_json::<switch::Mode>(body, MAX_BODY, BODY_WAIT).await;
            Ok(mode.map_or_else(
                |error| http::json(StatusCode::BAD_REQUEST, &error),
                |mode| {
                    shared.switch.set(mode);
                    empty(StatusCode::OK)
                },
            ))
        }
        _ => Ok(empty(StatusCode::NOT_FOUND)),
    }
}

fn empty(status: StatusCode) -> hyper::Response<http::Body> {
    #[derive(serde::Serialize)]
    struct Empty {}
    http::json(status, &Empty {})
}
