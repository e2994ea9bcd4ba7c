//! An executor for `hyper` that can wait for its tasks.

use hyper::rt;
use tokio_util::task;

/// An executor that spawns futures on tokio and tracks them, so that its owner can wait for them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Executor(task::TaskTracker);

impl Executor {
    /// Waits until every spawned future has ended.
    pub(crate) async fn join(&self) {
        self.0.close();
        self.0.wait().await;
    }
}

impl<F> rt::Executor<F> for Executor
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    fn execute(&self, future: F) {
        self.0.spawn(future);
    }
}
