//! Starts and stops the stand-in and answers its calls.

use std::{io, net, sync, time};

use hyper::{Method, StatusCode, body};
use tokio_util::task as tracking;
use trefoildyke_types::id;
use trefoildyke_wire::{endpoint::message, http};

use crate::{service, switch};

const MAX_BODY: usize = 4 << 20;
const BODY_WAIT: time::Duration = time::Duration::from_secs(10);

type Response = hyper::Response<http::Body>;

/// Holds a stand-in that runs until it is stopped.
#[derive(Debug)]
pub struct Running {
    server: http::Server,
    site: sync::Arc<Site>,
}

#[derive(Debug)]
struct Site {
    call_time: time::Duration,
    slots: tokio::sync::Semaphore,
    load: sync::Mutex<service::load::Load>,
    switch: switch::Switch,
    ledger: sync::Mutex<service::LedgerReport>,
    calls: tracking::TaskTracker,
}

/// Starts the stand-in on the current runtime.
pub async fn serve(settings: service::Settings) -> io::Result<Running> {
    let listener = tokio::net::TcpListener::bind(settings.listen).await?;
    let site = sync::Arc::new(Site {
        call_time: settings.call_time,
        slots: tokio::sync::Semaphore::new(settings.slots.max(1)),
        load: sync::Mutex::new(service::load::Load::new(settings.report_lag)),
        switch: switch::Switch::default(),
        ledger: sync::Mutex::default(),
        calls: tracking::TaskTracker::new(),
    });
    let answering = sync::Arc::clone(&site);
    let server = http::Server::start(listener, http::ServerLimits::default(), move |call| {
        let site = sync::Arc::clone(&answering);
        async move { answer(&site, call).await }
    })?;
    Ok(Running { server, site })
}

impl Running {
    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Sets how the stand-in behaves.
    pub fn set_mode(&self, mode: switch::Mode) {
        self.site.switch.set(mode);
    }

    /// Returns what the service has done.
    pub fn ledger(&self) -> service::LedgerReport {
        self.site.lock().clone()
    }

    /// Stops at once and joins every task.
    pub async fn stop(self) {
        self.server.stop(time::Duration::ZERO).await;
        self.site.calls.close();
        self.site.calls.wait().await;
    }
}

impl Site {
    fn lock(&self) -> sync::MutexGuard<'_, service::LedgerReport> {
        self.ledger.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn load(&self) -> sync::MutexGuard<'_, service::load::Load> {
        self.load.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Runs a call to its end, whether or not the caller still listens.
    async fn run(&self, key: id::RequestKey, output: String, delay: time::Duration) -> Response {
        *self.lock().starts.entry(key.to_string()).or_default() += 1;
        self.load().wait();
        let slot = self.slots.acquire().await;
        self.load().run();
        tokio::time::sleep(self.call_time + delay).await;
        drop(slot);
        self.load().end();
        http::json(StatusCode::OK, &message::ServiceReply { id: key.id, output })
    }
}

async fn answer(site: &sync::Arc<Site>, call: http::Call) -> Result<Response, http::Aborted> {
    let source = call.source.ip();
    let (head, body) = call.request.into_parts();
    match (&head.method, head.uri.path()) {
        (&Method::GET, "/v1/ledger") => Ok(http::json(StatusCode::OK, &*site.lock())),
        (&Method::GET, "/v1/load") => Ok(http::json(StatusCode::OK, &site.load().read())),
        (&Method::POST, "/admin/mode") => Ok(set_mode(site, body).await),
        (&Method::POST, path) if path.starts_with("/v1/call/") => {
            let operation = path.trim_start_matches("/v1/call/").to_owned();
            take(site, &head, body, operation, source).await
        }
        _ => Ok(empty(StatusCode::NOT_FOUND)),
    }
}

async fn set_mode(site: &Site, body: body::Incoming) -> Response {
    match http::read_json::<switch::Mode>(body, MAX_BODY, BODY_WAIT).await {
        Ok(mode) => {
            site.switch.set(mode);
            empty(StatusCode::OK)
        }
        Err(error) => http::json(StatusCode::BAD_REQUEST, &error),
    }
}

async fn take(
    site: &sync::Arc<Site>,
    head: &::http::request::Parts,
    body: body::Incoming,
    operation: String,
    source: net::IpAddr,
) -> Result<Response, http::Aborted> {
    let Some(key) = read_key(head) else {
        return Ok(empty(StatusCode::BAD_REQUEST));
    };
    let Ok(input) = http::read_body(body, MAX_BODY, BODY_WAIT).await else {
        return Ok(empty(StatusCode::BAD_REQUEST));
    };
    let mode = site.switch.meet(source, true);
    match mode.mode {
        switch::ModeKind::Down => return Ok(empty(StatusCode::SERVICE_UNAVAILABLE)),
        switch::ModeKind::Silent => return std::future::pending().await,
        _ => {}
    }
    let output = output(&operation, input.len());
    let delay = time::Duration::from_millis(mode.delay_ms);
    let running = sync::Arc::clone(site);
    let call = site.calls.spawn(async move { running.run(key, output, delay).await });
    let response = call.await.map_err(|_| http::Aborted)?;
    if mode.mode == switch::ModeKind::LoseAnswers {
        return Err(http::Aborted);
    }
    Ok(response)
}

fn read_key(head: &::http::request::Parts) -> Option<id::RequestKey> {
    let text = |name| head.headers.get(name)?.to_str().ok();
    let account: &str = text("x-account")?;
    let id = text("x-request-id")?.parse().ok()?;
    Some(id::RequestKey { account: account.into(), id })
}

fn empty(status: StatusCode) -> Response {
    #[derive(serde::Serialize)]
    struct Empty {}
    http::json(status, &Empty {})
}

/// Returns the output of an operation for an input of that many bytes.
pub fn output(operation: &str, input_bytes: usize) -> String {
    format!("{operation}: {input_bytes} bytes")
}
