//! A daemon's operator face without the rest of the daemon.

use std::{sync, time};

use testbed::kv;
use tokio::{sync::watch, task};
use trefoildyke_daemon::{config as service, operators};
use trefoildyke_decide::config;
use trefoildyke_types::{event, id};
use trefoildyke_wire::{
    http,
    operators::{Client, message},
    platform,
};

pub(crate) const TOKEN: &str = "an operator's token";

const DEADLINE: time::Duration = time::Duration::from_secs(20);

/// Serves operators until it is dropped.
pub(crate) struct Server {
    pub(crate) kv: kv::Running,
    pub(crate) http: http::Server,
    pub(crate) handle: service::Handle,
    pub(crate) progress: watch::Sender<operators::Progress>,
    _keeper: task::JoinSet<()>,
}

impl Server {
    pub(crate) async fn new(settings: operators::Settings) -> Self {
        let unlimited =
            kv::Settings { writes_per_s: 100_000, reads_per_s: 100_000, ..kv::Settings::default() };
        let kv = kv::serve(unlimited).await.unwrap();
        let client = platform::KvClient::new(platform::KvSettings::new(kv.address()));
        let (handle, keeper) = service::new(service::Settings::default(), client);
        let mut tasks = task::JoinSet::new();
        tasks.spawn(keeper.run());
        let (progress, seen) = watch::channel(operators::Progress::default());
        let face = sync::Arc::new(operators::Face::new(
            settings,
            operators::Identity {
                host: id::HostName::new("entry-1"),
                incarnation: id::Incarnation::from_u64(7),
            },
            operators::Tokens::parse(&[hash(TOKEN)]).unwrap(),
            handle.clone(),
            seen,
            sync::Arc::new(events),
        ));
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let answer = move |call| sync::Arc::clone(&face).answer(call);
        let http = http::Server::start(listener, http::ServerLimits::default(), answer).unwrap();
        Self { kv, http, handle, progress, _keeper: tasks }
    }

    pub(crate) fn client(&self) -> Client {
        Client::new(vec![self.http.address()], TOKEN, DEADLINE).unwrap()
    }

    /// Sends a call with the operator's token.
    pub(crate) async fn call(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<hyper::Response<bytes::Bytes>, http::CallError> {
        self.call_as(&format!("Bearer {TOKEN}"), method, path, body).await
    }

    /// Sends a call with any authorization.
    pub(crate) async fn call_as(
        &self,
        authorization: &str,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<hyper::Response<bytes::Bytes>, http::CallError> {
        let request = hyper::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.http.address()))
            .header("authorization", authorization)
            .body(bytes::Bytes::copy_from_slice(body))
            .unwrap();
        http::Client::default().call(request, DEADLINE).await
    }
}

fn hash(token: &str) -> String {
    use sha2::Digest as _;
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
