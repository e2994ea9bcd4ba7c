//! Tasks that their parent joins.

use std::{fmt, future, panic, pin, task, time};

use tokio::{runtime, sync};
use tokio_util::{sync as tokio_sync, task as tokio_task};

use crate::fault;

/// Spawns tasks on one runtime and joins every one of them.
///
/// Tasks watch [`Scope::cancelled`] and end soon after it. A task that ends by an error or a panic
/// is reported as a [`fault::Fault`].
#[derive(Clone)]
pub struct Scope {
    runtime: runtime::Handle,
    token: tokio_sync::CancellationToken,
    tracker: tokio_task::TaskTracker,
    faults: sync::mpsc::UnboundedSender<fault::Fault>,
}

impl Scope {
    pub(crate) fn new(
        runtime: runtime::Handle,
        faults: sync::mpsc::UnboundedSender<fault::Fault>,
    ) -> Self {
        let token = tokio_sync::CancellationToken::new();
        Self { runtime, token, tracker: tokio_task::TaskTracker::new(), faults }
    }

    /// Returns a scope on the same runtime that is cancelled with this one and joined on its own.
    ///
    /// Whoever creates it calls [`Scope::close`] on it before its own end.
    pub fn child(&self) -> Self {
        Self {
            runtime: self.runtime.clone(),
            token: self.token.child_token(),
            tracker: tokio_task::TaskTracker::new(),
            faults: self.faults.clone(),
        }
    }

    /// Spawns a task on which the daemon depends; an error or panic stops the daemon.
    pub fn spawn<F, E>(&self, name: &str, task: F)
    where
        F: Future<Output = Result<(), E>> + Send + 'static,
        E: fmt::Display,
    {
        let name = name.to_owned();
        let faults = self.faults.clone();
        let watched = async move {
            if let Err(fault) = watch(&name, task).await {
                // The receiver is gone only after the kernel has stopped.
                let _ = faults.send(fault);
            }
        };
        self.tracker.spawn_on(watched, &self.runtime);
    }

    /// Spawns a task whose error or panic is logged and harms nothing else, such as a connection's.
    pub fn spawn_isolated<F, E>(&self, name: &str, task: F)
    where
        F: Future<Output = Result<(), E>> + Send + 'static,
        E: fmt::Display,
    {
        let name = name.to_owned();
        let watched = async move {
            if let Err(fault) = watch(&name, task).await {
                log::warn!("{fault}");
            }
        };
        self.tracker.spawn_on(watched, &self.runtime);
    }

    /// Returns the token that is cancelled when the scope ends.
    pub const fn token(&self) -> &tokio_sync::CancellationToken {
        &self.token
    }

    /// Waits until the scope is cancelled.
    pub async fn cancelled(&self) {
        self.token.cancelled().await;
    }

    /// Returns how many tasks are running.
    pub fn running(&self) -> usize {
        self.tracker.len()
    }

    /// Cancels the scope and joins its tasks, for `limit` at most; says whether all have ended.
    pub async fn close(&self, limit: time::Duration) -> bool {
        self.token.cancel();
        self.tracker.close();
        tokio::time::timeout(limit, self.tracker.wait()).await.is_ok()
    }
}

async fn watch<F, E>(name: &str, task: F) -> Result<(), fault::Fault>
where
    F: Future<Output = Result<(), E>>,
    E: fmt::Display,
{
    let mut task = pin::pin!(task);
    let guarded = future::poll_fn(|context| poll_guarded(task.as_mut(), context));
    match guarded.await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(error)) => Err(fault::Fault::new(name, &error)),
        Err(panic) => Err(fault::Fault::from_panic(name, panic.as_ref())),
    }
}

type Guarded<T> = Result<T, Box<dyn std::any::Any + Send>>;

fn poll_guarded<F: Future>(
    task: pin::Pin<&mut F>,
    context: &mut task::Context<'_>,
) -> task::Poll<Guarded<F::Output>> {
    // A task that panicked is never polled again, so nobody sees its broken state.
    match panic::catch_unwind(panic::AssertUnwindSafe(|| task.poll(context))) {
        Ok(task::Poll::Pending) => task::Poll::Pending,
        Ok(task::Poll::Ready(output)) => task::Poll::Ready(Ok(output)),
        Err(panic) => task::Poll::Ready(Err(panic)),
    }
}
