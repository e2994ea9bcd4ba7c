//! Structured concurrency: scopes that join the tasks spawned in them.

use std::{fmt, future, panic, pin, task, time};

use tokio::{runtime, sync};
use tokio_util::{sync as tokio_sync, task as tokio_task};

use crate::fault;

/// A group of tasks on one runtime that are cancelled and joined together.
///
/// Tasks must wait for [`Scope::cancelled`] and end soon after it. A task that ends with an error or a panic
/// yields a [`fault::Fault`], which stops the daemon ([`Scope::spawn`]) or is logged
/// ([`Scope::spawn_isolated`]). Clones share the same tasks.
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

    /// Returns a scope on the same runtime that is cancelled together with this one but joined separately.
    ///
    /// The task that creates the child must call [`Scope::close`] on it before it ends itself.
    pub fn child(&self) -> Self {
        Self {
            runtime: self.runtime.clone(),
            token: self.token.child_token(),
            tracker: tokio_task::TaskTracker::new(),
            faults: self.faults.clone(),
        }
    }

    /// Spawns a task on which the daemon depends; an error or panic in it stops the daemon.
    pub fn spawn<F, E>(&self, name: &str, task: F)
    where
        F: Future<Output = Result<(), E>> + Send + 'static,
        E: fmt::Display,
    {
        let name = name.to_owned();
        let faults = self.faults.clone();
        let monitored = async move {
            if let Err(fault) = run_to_fault(&name, task).await {
                // Sending fails only after the kernel has stopped and dropped the receiver.
                let _ = faults.send(fault);
            }
        };
        self.tracker.spawn_on(monitored, &self.runtime);
    }

    /// Spawns a task, such as that of one connection, whose error or panic is only logged.
    pub fn spawn_isolated<F, E>(&self, name: &str, task: F)
    where
        F: Future<Output = Result<(), E>> + Send + 'static,
        E: fmt::Display,
    {
        let name = name.to_owned();
        let monitored = async move {
            if let Err(fault) = run_to_fault(&name, task).await {
                log::warn!("{fault}");
            }
        };
        self.tracker.spawn_on(monitored, &self.runtime);
    }

    /// Returns the token that is cancelled when the scope is closed.
    pub const fn token(&self) -> &tokio_sync::CancellationToken {
        &self.token
    }

    /// Waits until the scope is cancelled.
    pub async fn cancelled(&self) {
        self.token.cancelled().await;
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> usize {
        self.tracker.len()
    }

    /// Cancels the scope and waits up to `timeout` for its tasks; returns whether all have ended.
    pub async fn close(&self, timeout: time::Duration) -> bool {
        self.token.cancel();
        self.tracker.close();
        tokio::time::timeout(timeout, self.tracker.wait()).await.is_ok()
    }
}

async fn run_to_fault<F, E>(name: &str, task: F) -> Result<(), fault::Fault>
where
    F: Future<Output = Result<(), E>>,
    E: fmt::Display,
{
    let mut task = pin::pin!(task);
    let caught = future::poll_fn(|context| poll_catching_panics(task.as_mut(), context));
    match caught.await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(error)) => Err(fault::Fault::new(name, &error)),
        Err(panic) => Err(fault::Fault::from_panic(name, panic.as_ref())),
    }
}

type PanicResult<T> = Result<T, Box<dyn std::any::Any + Send>>;

fn poll_catching_panics<F: Future>(
    task: pin::Pin<&mut F>,
    context: &mut task::Context<'_>,
) -> task::Poll<PanicResult<F::Output>> {
    // Unwind safety: a task that panicked is never polled again, so no code sees its inconsistent state.
    match panic::catch_unwind(panic::AssertUnwindSafe(|| task.poll(context))) {
        Ok(task::Poll::Pending) => task::Poll::Pending,
        Ok(task::Poll::Ready(output)) => task::Poll::Ready(Ok(output)),
        Err(panic) => task::Poll::Ready(Err(panic)),
    }
}
