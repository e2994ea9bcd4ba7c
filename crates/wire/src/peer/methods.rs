//! The handlers for calls from peers.

use std::{future, sync};

use futures::future::BoxFuture;
use trefoildyke_types::{error, id, request};

use crate::peer;

/// The caller of a method.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caller {
    /// The caller's incarnation, which its proof covers.
    pub incarnation: id::Incarnation,
}

/// The handler for one kind of call.
pub type Method<Request, Answer> =
    sync::Arc<dyn Fn(Caller, Request) -> BoxFuture<'static, Answer> + Send + Sync>;

/// The handlers for all calls of [`peer::Peer`] but `ping`.
///
/// The default handlers answer every call as unavailable; each service replaces the handlers of its
/// calls.
#[derive(Clone)]
pub struct Methods {
    /// Handles [`peer::Peer::exchange`].
    pub exchange: Method<peer::Payload, Result<peer::Payload, error::Error>>,
    /// Handles [`peer::Peer::probe`].
    pub probe: Method<id::Incarnation, Result<bool, error::Error>>,
    /// Handles [`peer::Peer::ask`].
    pub ask: Method<peer::AskRequest, Result<request::Permit, request::Refusal>>,
    /// Handles [`peer::Peer::report`].
    pub report: Method<peer::ReportRequest, Result<(), error::Error>>,
    /// Handles [`peer::Peer::read`].
    pub read: Method<peer::ReadRequest, Result<peer::ReadAnswer, error::Error>>,
    /// Handles [`peer::Peer::commit`].
    pub commit: Method<peer::CommitRequest, Result<Vec<peer::CommitOutcome>, error::Error>>,
    /// Handles [`peer::Peer::look_up`].
    pub look_up: Method<id::RequestKey, Result<Option<request::Record>, error::Error>>,
    /// Handles [`peer::Peer::changes`].
    pub changes: Method<peer::ChangesRequest, Result<peer::Changes, error::Error>>,
}

impl Methods {
    /// Creates a handler from an async function.
    pub fn method<Request, Answer, F, Fut>(handler: F) -> Method<Request, Answer>
    where
        F: Fn(Caller, Request) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = Answer> + Send + 'static,
    {
        sync::Arc::new(move |caller, request| Box::pin(handler(caller, request)))
    }
}

impl Default for Methods {
    fn default() -> Self {
        Self {
            exchange: unavailable("exchange"),
            probe: unavailable("probe"),
            ask: Self::method(|_, _| future::ready(Err(no_scheduler()))),
            report: unavailable("report"),
            read: unavailable("read"),
            commit: unavailable("commit"),
            look_up: unavailable("look_up"),
            changes: unavailable("changes"),
        }
    }
}

fn unavailable<Request: 'static, Answer: Send + 'static>(
    call: &'static str,
) -> Method<Request, Result<Answer, error::Error>> {
    Methods::method(move |_, _| {
        let message = format!("this daemon does not serve `{call}` yet");
        future::ready(Err(error::Error::new(error::ErrorKind::Unavailable, message)))
    })
}

fn no_scheduler() -> request::Refusal {
    let remedy = "the daemon has no scheduler yet; send the request again";
    request::Refusal::new(request::RefusalKind::NotRun, "no_scheduler", remedy).retry_after(1_000)
}

/// The server of the calls of one connection.
#[derive(Clone)]
pub(crate) struct Server {
    pub(crate) caller: Caller,
    pub(crate) methods: sync::Arc<Methods>,
}

impl peer::Peer for Server {
    async fn exchange(
        self,
        _: tarpc::context::Context,
        digest: peer::Payload,
    ) -> Result<peer::Payload, error::Error> {
        (self.methods.exchange)(self.caller, digest).await
    }

    async fn ping(self, _: tarpc::context::Context) {}

    async fn probe(
        self,
        _: tarpc::context::Context,
        target: id::Incarnation,
    ) -> Result<bool, error::Error> {
        (self.methods.probe)(self.caller, target).await
    }

    async fn ask(
        self,
        _: tarpc::context::Context,
        ask: peer::AskRequest,
    ) -> Result<request::Permit, request::Refusal> {
        (self.methods.ask)(self.caller, ask).await
    }

    async fn report(
        self,
        _: tarpc::context::Context,
        report: peer::ReportRequest,
    ) -> Result<(), error::Error> {
        (self.methods.report)(self.caller, report).await
    }

    async fn read(
        self,
        _: tarpc::context::Context,
        read: peer::ReadRequest,
    ) -> Result<peer::ReadAnswer, error::Error> {
        (self.methods.read)(self.caller, read).await
    }

    async fn commit(
        self,
        _: tarpc::context::Context,
        commit: peer::CommitRequest,
    ) -> Result<Vec<peer::CommitOutcome>, error::Error> {
        (self.methods.commit)(self.caller, commit).await
    }

    async fn look_up(
        self,
        _: tarpc::context::Context,
        key: id::RequestKey,
    ) -> Result<Option<request::Record>, error::Error> {
        (self.methods.look_up)(self.caller, key).await
    }

    async fn changes(
        self,
        _: tarpc::context::Context,
        request: peer::ChangesRequest,
    ) -> Result<peer::Changes, error::Error> {
        (self.methods.changes)(self.caller, request).await
    }
}
