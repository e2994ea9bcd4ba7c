//! The calls over one connection.

use tarpc::client::{self, RpcError, stub};
use tokio_util::sync;

use crate::peer::{PeerRequest, PeerResponse, service};

/// A client for calls over one connection to a peer.
pub type PeerClient = service::PeerClient<Calls>;

/// Sends calls over one connection; each call ends with the connection at the latest.
///
/// A call that is queued at the moment when tarpc drops its queue is otherwise never answered, and has no
/// timeout any more.
#[derive(Clone, Debug)]
pub struct Calls {
    channel: client::Channel<PeerRequest, PeerResponse>,
    ended: sync::CancellationToken,
}

impl Calls {
    /// Creates the calls of a connection that ends when `ended` is cancelled.
    pub(super) const fn new(
        channel: client::Channel<PeerRequest, PeerResponse>,
        ended: sync::CancellationToken,
    ) -> Self {
        Self { channel, ended }
    }
}

impl stub::Stub for Calls {
    type Req = PeerRequest;
    type Resp = PeerResponse;

    async fn call(
        &self,
        context: tarpc::context::Context,
        request: PeerRequest,
    ) -> Result<PeerResponse, RpcError> {
        tokio::select! {
            biased;
            answer = self.channel.call(context, request) => answer,
            () = self.ended.cancelled() => Err(RpcError::Shutdown),
        }
    }
}
