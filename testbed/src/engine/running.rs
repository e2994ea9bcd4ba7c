//! Starts and stops the stand-in and answers its calls.

use std::{io, net, sync, time};

use hyper::{Method, StatusCode, body};
use tokio::task;
use tokio_util::task as tracking;
use trefoildyke_types::id;
use trefoildyke_wire::{endpoint::message, http};

use crate::engine;

const MAX_BODY: usize = 4 << 20;
const BODY_WAIT: time::Duration = time::Duration::from_secs(10);

type Response = hyper::Response<http::Body>;

/// Holds a stand-in that runs until it is stopped.
#[derive(Debug)]
pub struct Running {
    server: http::Server,
    clock: task::JoinHandle<()>,
    site: sync::Arc<Site>,
}

#[derive(Debug)]
struct Site {
    shared: sync::Arc<engine::shared::Shared>,
    answers: tracking::TaskTracker,
}

/// Starts the stand-in on the current runtime.
pub async fn serve(settings: engine::Settings) -> io::Result<Running> {
    let listener = tokio::net::TcpListener::bind(settings.listen).await?;
    let shared = sync::Arc::new(engine::shared::Shared::new(&settings));
    let site = sync::Arc::new(Site {
        shared: sync::Arc::clone(&shared),
        answers: tracking::TaskTracker::new(),
    });
    let answering = sync::Arc::clone(&site);
    let server = http::Server::start(listener, http::ServerLimits::default(), move |call| {
        let site = sync::Arc::clone(&answering);
        async move { Ok(site.answer(call.request).await) }
    })?;
    let clock = tokio::spawn(async move { shared.run_clock().await });
    Ok(Running { server, clock, site })
}

impl Running {
    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Sets how the stand-in behaves.
    pub fn set_mode(&self, mode: engine::Mode) {
        self.site.shared.set_mode(mode);
    }

    /// Returns what the engine has done.
    pub fn ledger(&self) -> engine::LedgerReport {
        self.site.shared.with(|core, _| core.report())
    }

    /// Returns the model's own ledger, for adding up over a fleet.
    pub fn model_ledger(&self) -> crate::model::Ledger {
        self.site.shared.with(|core, _| core.model.ledger().clone())
    }

    /// Stops at once, as if killed, and joins every task.
    pub async fn stop(self) {
        self.server.stop(time::Duration::ZERO).await;
        self.clock.abort();
        // It was told to end.
        let _ = self.clock.await;
        self.site.answers.close();
        self.site.answers.wait().await;
    }
}

impl Site {
    async fn answer(&self, request: hyper::Request<body::Incoming>) -> Response {
        let (head, body) = request.into_parts();
        let path: Vec<&str> = head.uri.path().split('/').skip(1).collect();
        match (&head.method, path.as_slice()) {
            (&Method::POST, ["v1", "generate"]) => self.generate(body).await,
            (&Method::GET, ["v1", "streams", account, id]) => {
                self.resume(account, id, number(&head.uri, "offset="))
            }
            (&Method::DELETE, ["v1", "streams", account, id]) => self.cancel(account, id),
            (&Method::GET, ["v1", "load"]) => http::json(StatusCode::OK, &self.shared.load()),
            (&Method::GET, ["v1", "cache", "events"]) => {
                let after = number(&head.uri, "after=");
                http::json(StatusCode::OK, &self.shared.with(|core, _| core.cache_page(after)))
            }
            (&Method::POST, ["v1", "orders"]) => self.order(body).await,
            (&Method::GET, ["v1", "ledger"]) => {
                http::json(StatusCode::OK, &self.shared.with(|core, _| core.report()))
            }
            (&Method::POST, ["admin", "mode"]) => self.switch(body).await,
            _ => empty(StatusCode::NOT_FOUND),
        }
    }

    async fn generate(&self, body: body::Incoming) -> Response {
        let read = http::read_json::<message::Generate>(body, MAX_BODY, BODY_WAIT).await;
        match read {
            Ok(generate) => {
                let progress = self.shared.with(|core, now| core.start(now, &generate));
                self.stream(generate.id, 0, progress)
            }
            Err(error) => http::json(StatusCode::BAD_REQUEST, &error),
        }
    }

    fn resume(&self, account: &str, id: &str, offset: u64) -> Response {
        let Ok(id) = id.parse::<id::RequestId>() else {
            return empty(StatusCode::NOT_FOUND);
        };
        let key = id::RequestKey { account: account.into(), id };
        match self.shared.with(|core, _| core.find(&key)) {
            Some(progress) => self.stream(id, offset, progress),
            None => empty(StatusCode::NOT_FOUND),
        }
    }

    fn stream(
        &self,
        id: id::RequestId,
        offset: u64,
        progress: tokio::sync::watch::Receiver<engine::core::Progress>,
    ) -> Response {
        let shared = sync::Arc::clone(&self.shared);
        engine::answer::Answer::new(shared, id, offset, progress).respond(&self.answers)
    }

    fn cancel(&self, account: &str, id: &str) -> Response {
        let Ok(id) = id.parse::<id::RequestId>() else {
            return empty(StatusCode::NOT_FOUND);
        };
        let key = id::RequestKey { account: account.into(), id };
        let known = self.shared.with(|core, now| core.cancel(now, &key));
        empty(if known { StatusCode::OK } else { StatusCode::NOT_FOUND })
    }

    async fn order(&self, body: body::Incoming) -> Response {
        let order = match http::read_json::<message::Order>(body, MAX_BODY, BODY_WAIT).await {
            Ok(order) => order,
            Err(error) => return http::json(StatusCode::BAD_REQUEST, &error),
        };
        if let Err(stale) = self.shared.with(|core, _| core.orders.admit(order.fence)) {
            return http::json(StatusCode::CONFLICT, &stale);
        }
        // An engine carries an order out whether or not its sender still listens.
        let shared = sync::Arc::clone(&self.shared);
        let carrying = self.answers.spawn(async move { carry_out(&shared, order).await });
        carrying.await.unwrap_or_else(|_| empty(StatusCode::INTERNAL_SERVER_ERROR))
    }

    async fn switch(&self, body: body::Incoming) -> Response {
        match http::read_json::<engine::Mode>(body, MAX_BODY, BODY_WAIT).await {
            Ok(mode) => {
                self.shared.set_mode(mode);
                empty(StatusCode::OK)
            }
            Err(error) => http::json(StatusCode::BAD_REQUEST, &error),
        }
    }
}

async fn carry_out(shared: &engine::shared::Shared, order: message::Order) -> Response {
    tokio::time::sleep(shared.order_time).await;
    match shared.with(|core, _| core.orders.finish(&order)) {
        Ok(()) => {
            let result = message::OrderResult::Done;
            http::json(StatusCode::OK, &message::OrderDone { order: order.order, result })
        }
        Err(stale) => http::json(StatusCode::CONFLICT, &stale),
    }
}

fn number(uri: &hyper::Uri, name: &str) -> u64 {
    let pairs = uri.query().unwrap_or_default().split('&');
    let value = pairs.filter_map(|pair| pair.strip_prefix(name)).next();
    value.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn empty(status: StatusCode) -> Response {
    #[derive(serde::Serialize)]
    struct Empty {}
    http::json(status, &Empty {})
}
