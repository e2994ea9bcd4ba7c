//! The calls from the HTTP API to the coordinator.

use std::sync;

use futures::future;
use trefoildyke_types::{id, request};

use crate::callers::{Answer, Submission};

/// A future that resolves to the answer of an accepted request or to a refusal.
pub type Reply = future::BoxFuture<'static, Result<Answer, request::Refusal>>;

/// The two calls that the coordinator offers to the HTTP API.
#[derive(Clone)]
pub struct Coordinator {
    /// Accepts a request and returns its answer, or refuses it.
    pub submit: sync::Arc<dyn Fn(Submission) -> Reply + Send + Sync>,
    /// Returns the answer of an earlier request from an output offset on, in tokens.
    pub resume: sync::Arc<dyn Fn(id::RequestKey, u64) -> Reply + Send + Sync>,
}
