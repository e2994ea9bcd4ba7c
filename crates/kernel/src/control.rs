//! The control thread, which holds the control state.

use std::thread;

use tokio::runtime;
use tokio_util::sync as tokio_sync;

use crate::error;

/// A thread that runs a current-thread runtime until the value is dropped.
pub(crate) struct ControlThread {
    handle: runtime::Handle,
    stop: tokio_sync::CancellationToken,
    thread: Option<thread::JoinHandle<()>>,
}

impl ControlThread {
    pub(crate) fn start() -> Result<Self, error::Error> {
        let start_error = |cause| error::Error::Start { part: "control thread", cause };
        let runtime =
            runtime::Builder::new_current_thread().enable_all().build().map_err(start_error)?;
        let handle = runtime.handle().clone();
        let stop = tokio_sync::CancellationToken::new();
        let stop_requested = stop.clone();
        let run = move || runtime.block_on(stop_requested.cancelled());
        let thread = thread::Builder::new().name("control".to_owned()).spawn(run);
        Ok(Self { handle, stop, thread: Some(thread.map_err(start_error)?) })
    }

    pub(crate) const fn handle(&self) -> &runtime::Handle {
        &self.handle
    }
}

impl Drop for ControlThread {
    fn drop(&mut self) {
        self.stop.cancel();
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the control thread panicked; see the log lines before this one");
        }
    }
}
