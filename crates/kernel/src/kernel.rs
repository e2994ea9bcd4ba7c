//! The two runtimes of a daemon and its graceful stop.

use std::{io, time};

use tokio::{runtime, sync};
use tokio_util::sync as tokio_sync;

use crate::{control, error, fault, registry, scope, signals};

const DEFAULT_WORKERS: usize = 2;
const CLOSE_LIMIT: time::Duration = time::Duration::from_secs(5);

/// Builds a [`Kernel`].
#[derive(Clone, Debug)]
pub struct Builder {
    workers: usize,
}

impl Builder {
    /// Runs traffic on `workers` threads; at least 1.
    #[must_use]
    pub fn with_traffic_threads(self, workers: usize) -> Self {
        Self { workers: workers.max(1) }
    }

    /// Starts the control thread and the traffic threads.
    ///
    /// # Errors
    ///
    /// Fails if a thread cannot be started.
    pub fn start(&self) -> Result<Kernel, error::Error> {
        let control_thread = control::ControlThread::start()?;
        let traffic_runtime = runtime::Builder::new_multi_thread()
            .worker_threads(self.workers)
            .thread_name("traffic")
            .enable_all()
            .build()
            .map_err(|cause| error::Error::Start { part: "traffic threads", cause })?;
        let (report, faults) = sync::mpsc::unbounded_channel();
        Ok(Kernel {
            registry: registry::Registry::default(),
            control: scope::Scope::new(control_thread.handle().clone(), report.clone()),
            traffic: scope::Scope::new(traffic_runtime.handle().clone(), report),
            stopping: tokio_sync::CancellationToken::new(),
            faults,
            control_thread,
            traffic_runtime,
        })
    }
}

/// Runs the services of one daemon.
///
/// A stop has two phases: first [`Kernel::stopping`] is cancelled, services refuse new work and
/// finish what is in progress; then both scopes are cancelled and joined.
pub struct Kernel {
    registry: registry::Registry,
    control: scope::Scope,
    traffic: scope::Scope,
    stopping: tokio_sync::CancellationToken,
    faults: sync::mpsc::UnboundedReceiver<fault::Fault>,
    control_thread: control::ControlThread,
    traffic_runtime: runtime::Runtime,
}

impl Kernel {
    /// Returns a builder with two traffic threads.
    pub const fn builder() -> Builder {
        Builder { workers: DEFAULT_WORKERS }
    }

    /// Returns the services by name.
    pub const fn registry(&self) -> &registry::Registry {
        &self.registry
    }

    /// Returns the scope of the one thread that holds control state.
    pub const fn control(&self) -> &scope::Scope {
        &self.control
    }

    /// Returns the scope of the threads that carry traffic.
    pub const fn traffic(&self) -> &scope::Scope {
        &self.traffic
    }

    /// Returns the token whose cancellation asks for a graceful stop; anyone may cancel it.
    pub const fn stopping(&self) -> &tokio_sync::CancellationToken {
        &self.stopping
    }

    /// Runs a future on the traffic threads and waits for it, for start-up and tests.
    pub fn block_on<F: Future>(&self, future: F) -> F::Output {
        self.traffic_runtime.block_on(future)
    }

    /// Waits for a signal, a requested stop or a fault, and then begins the stop.
    ///
    /// # Errors
    ///
    /// Fails if signals cannot be received.
    pub fn wait_for_stop(&mut self) -> io::Result<()> {
        let stopping = self.stopping.clone();
        let faults = &mut self.faults;
        let cause = self.traffic_runtime.block_on(async {
            tokio::select! {
                signal = signals::end_requested() => signal.map(str::to_owned),
                () = stopping.cancelled() => Ok("a requested stop".to_owned()),
                Some(fault) = faults.recv() => Ok(fault.to_string()),
            }
        })?;
        log::info!("stopping because of {cause}");
        self.stopping.cancel();
        Ok(())
    }

    /// Cancels and joins everything that was spawned and returns the faults met.
    #[must_use]
    pub fn close(mut self) -> Vec<fault::Fault> {
        self.stopping.cancel();
        let (control, traffic) = (self.control.clone(), self.traffic.clone());
        let ended = self.traffic_runtime.block_on(async {
            let both = tokio::join!(traffic.close(CLOSE_LIMIT), control.close(CLOSE_LIMIT));
            both.0 && both.1
        });
        let mut faults = Vec::new();
        while let Ok(fault) = self.faults.try_recv() {
            faults.push(fault);
        }
        if !ended {
            faults.push(fault::Fault::new("kernel", &"tasks did not end after cancellation"));
        }
        drop(self.control_thread);
        self.traffic_runtime.shutdown_timeout(CLOSE_LIMIT);
        faults
    }
}
