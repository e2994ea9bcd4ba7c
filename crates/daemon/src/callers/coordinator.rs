//! How the face reaches the coordinator.

use std::sync;

use futures::future;
use trefoildyke_types::{id, request};

use crate::callers::{Answer, Submission};

/// Resolves to the answer of an accepted request or to the refusal.
pub type Reply = future::BoxFuture<'static, Result<Answer, request::Refusal>>;

/// Holds the coordinator's two ways in.
#[derive(Clone)]
pub struct Coordinator {
    /// Takes a request, or refuses it before it is accepted.
    pub submit: sync::Arc<dyn Fn(Submission) -> Reply + Send + Sync>,
    /// Returns to the answer of a request from an output offset.
    pub resume: sync::Arc<dyn Fn(id::RequestKey, u64) -> Reply + Send + Sync>,
}
