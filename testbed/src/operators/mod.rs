//! A daemon's operator API over a key-value stand-in, without the rest of the daemon.

use std::{io, sync, time};

use sha2::Digest as _;
use tokio::{sync::watch, task};
use trefoildyke_daemon::{config as service, operators, orders};
use trefoildyke_decide::config;
use trefoildyke_types::{error, event, id};
use trefoildyke_wire::{
    http,
    operators::{Client, message},
    platform,
};

use crate::kv;

/// The token that [`Server`] accepts.
pub const TOKEN: &str = "an operator's token";

const DEADLINE: time::Duration = time::Duration::from_secs(20);

/// Serves operators until it is dropped.
pub struct Server {
    /// The key-value service.
    pub kv: kv::Running,
    /// The HTTP server.
    pub http: http::Server,
    /// The configuration.
    pub handle: service::Handle,
    /// What the API shows of the other daemons.
    pub progress: watch::Sender<operators::Progress>,
    _keeper: task::JoinSet<()>,
}

impl Server {
    /// Starts the API, which shows three events of its own making.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn new(settings: operators::Settings) -> io::Result<Self> {
        let unlimited =
            kv::Settings { writes_per_s: 100_000, reads_per_s: 100_000, ..kv::Settings::default() };
        let kv = kv::serve(unlimited).await?;
        let client = platform::KvClient::new(platform::KvSettings::new(kv.address()));
        let (handle, keeper) = service::new(service::Settings::default(), client.clone());
        let mut tasks = task::JoinSet::new();
        tasks.spawn(keeper.run());
        let (progress, seen) = watch::channel(operators::Progress::default());
        let api = sync::Arc::new(operators::Api::new(
            settings,
            operators::Identity {
                host: id::HostName::new("entry-1"),
                incarnation: id::Incarnation::from_u64(7),
            },
            operators::Tokens::parse(&[hash(TOKEN)]).map_err(io::Error::other)?,
            handle.clone(),
            orders::Handle::new(client),
            seen,
            sync::Arc::new(events),
        ));
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let answer = move |call| sync::Arc::clone(&api).answer(call);
        let http = http::Server::start(listener, http::ServerLimits::default(), answer)?;
        Ok(Self { kv, http, handle, progress, _keeper: tasks })
    }

    /// Returns the address for operators.
    pub const fn address(&self) -> std::net::SocketAddr {
        self.http.address()
    }

    /// Returns a client with the operator's token.
    ///
    /// # Errors
    ///
    /// None at present.
    pub fn client(&self) -> Result<Client, error::Error> {
        Client::new(vec![self.address()], TOKEN, DEADLINE)
    }

    /// Sends a call with the operator's token.
    ///
    /// # Errors
    ///
    /// Fails if no answer comes.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<hyper::Response<bytes::Bytes>, http::CallError> {
        self.call_as(&format!("Bearer {TOKEN}"), method, path, body).await
    }

    /// Sends a call with any authorization.
    ///
    /// # Errors
    ///
    /// Fails if no answer comes.
    pub async fn call_as(
        &self,
        authorization: &str,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<hyper::Response<bytes::Bytes>, http::CallError> {
        let request = hyper::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address()))
            .header("authorization", authorization)
            .body(bytes::Bytes::copy_from_slice(body))
            .map_err(|error| http::CallError::NotSent(error.to_string()))?;
        http::Client::default().call(request, DEADLINE).await
    }
}

fn hash(token: &str) -> String {
    config::KeyHash::new(sha2::Sha256::digest(token).into()).to_string()
}

fn events(after: u64) -> message::EventPage {
    let event = event::Event {
        time_us: 1,
        host: id::HostName::new("entry-1"),
        incarnation: id::Incarnation::from_u64(7),
        seq: after + 1,
        clock: 1,
        key: None,
        kind: "started".to_owned(),
        detail: String::new(),
    };
    message::EventPage { events: vec![event], next: after + 1, more: after < 2 }
}
