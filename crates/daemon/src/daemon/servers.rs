//! The servers of a daemon.

use std::{sync, time};

use hyper::header;
use trefoildyke_kernel as kernel;
use trefoildyke_wire::{http, peer};

use crate::{callers, daemon::listeners, daemon::services, metrics, operators, settings};

/// The most events in one page of the timeline.
const EVENT_PAGE: usize = 1_000;

/// The running servers of a daemon.
pub(super) struct Servers {
    callers: http::Server,
    operators: http::Server,
    metrics: http::Server,
}

impl Servers {
    /// Starts all servers; must be called on the traffic threads.
    pub(super) fn start(
        kernel: &kernel::Kernel,
        settings: &settings::Settings,
        identity: peer::Identity,
        listeners: listeners::Listeners,
        services: &services::Services,
    ) -> anyhow::Result<Self> {
        serve_peers(kernel, settings, identity, listeners.peers, services.methods.clone());
        let api = sync::Arc::new(callers::Api::new(
            settings.callers,
            services.config.clone(),
            services.coordinate.caller_calls(),
            kernel.traffic().clone(),
        ));
        let answer = move |call| sync::Arc::clone(&api).answer(call);
        let callers = http::Server::start(listeners.callers, settings.callers.server(), answer)?;
        let api = sync::Arc::new(new_operators_api(settings, services)?);
        let answer = move |call| sync::Arc::clone(&api).answer(call);
        let limits = http::ServerLimits::default();
        let operators = http::Server::start(listeners.operators, limits, answer)?;
        let metrics_handle = services.metrics.clone();
        let answer = move |call| answer_scrape(metrics_handle.clone(), call);
        let metrics = http::Server::start(listeners.metrics, limits, answer)?;
        Ok(Self { callers, operators, metrics })
    }

    /// Stops the servers; answers in progress may continue for `grace`.
    pub(super) async fn stop(self, grace: time::Duration) {
        tokio::join!(
            self.callers.stop(grace),
            self.operators.stop(grace),
            self.metrics.stop(grace),
        );
    }
}

fn serve_peers(
    kernel: &kernel::Kernel,
    settings: &settings::Settings,
    identity: peer::Identity,
    listener: tokio::net::TcpListener,
    methods: peer::Methods,
) {
    let stop = kernel.traffic().token().clone();
    let limits = settings.peers.limits;
    let serve = peer::serve(listener, identity, limits, methods, stop);
    kernel.traffic().spawn("peers", serve);
}

fn new_operators_api(
    settings: &settings::Settings,
    services: &services::Services,
) -> anyhow::Result<operators::Api> {
    let timeline = services.timeline.clone();
    Ok(operators::Api::new(
        settings.operators.limits.clone(),
        operators::Identity { host: settings.host.clone(), incarnation: services.members.own() },
        operators::Tokens::parse(&settings.operators.token_hashes)?,
        services.config.clone(),
        services.orders.clone(),
        services.progress.clone(),
        sync::Arc::new(move |after| timeline.read(after, EVENT_PAGE)),
    ))
}

/// Answers a request for the metrics.
async fn answer_scrape(
    metrics: metrics::Handle,
    call: http::Call,
) -> Result<hyper::Response<http::Body>, http::Aborted> {
    if call.request.uri().path() != "/metrics" {
        let mut response = hyper::Response::new(http::Body::whole("use GET /metrics\n"));
        *response.status_mut() = hyper::StatusCode::NOT_FOUND;
        return Ok(response);
    }
    let text = metrics.text().map_err(|_| http::Aborted)?;
    let mut response = hyper::Response::new(http::Body::whole(text));
    let kind = header::HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    Ok(response)
}
