//! The two runtimes of a daemon and its graceful stop.

use std::{io, time};

use tokio::{runtime, sync};
use tokio_util::sync as tokio_sync;

use crate::{control, error, fault, registry, scope, signals};

const DEFAULT_TRAFFIC_THREADS: usize = 2;
const CLOSE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// A builder of a [`Kernel`].
#[derive(Clone, Debug)]
pub struct Builder {
    threads: usize,
}

impl Builder {
    /// Sets the number of threads that carry traffic; 0 counts as 1.
    #[must_use]
    pub fn with_traffic_threads(self, threads: usize) -> Self {
        Self { threads: threads.max(1) }
    }

    /// Starts the control thread and the traffic threads.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::Start`] if a thread or runtime cannot be started.
    pub fn start(&self) -> Result<Kernel, error::Error> {
        let control_thread = control::ControlThread::start()?;
        let traffic_runtime = runtime::Builder::new_multi_thread()
            .worker_threads(self.threads)
            .thread_name("traffic")
            .enable_all()
            .build()
            .map_err(|cause| error::Error::Start { part: "traffic threads", cause })?;
        let (fault_sender, faults) = sync::mpsc::unbounded_channel();
        Ok(Kernel {
            registry: registry::Registry::default(),
            control: scope::Scope::new(control_thread.handle().clone(), fault_sender.clone()),
            traffic: scope::Scope::new(traffic_runtime.handle().clone(), fault_sender),
            stopping: tokio_sync::CancellationToken::new(),
            faults,
            control_thread,
            traffic_runtime,
        })
    }
}

/// The runtimes, scopes and services of one daemon.
///
/// A stop has two phases. First, [`Kernel::stopping`] is cancelled: services refuse new work and finish the
/// work in progress. Then [`Kernel::close`] cancels and joins both scopes.
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
        Builder { threads: DEFAULT_TRAFFIC_THREADS }
    }

    /// Returns the registry of services.
    pub const fn registry(&self) -> &registry::Registry {
        &self.registry
    }

    /// Returns the scope of the control thread, which holds the control state.
    pub const fn control(&self) -> &scope::Scope {
        &self.control
    }

    /// Returns the scope of the threads that carry traffic.
    pub const fn traffic(&self) -> &scope::Scope {
        &self.traffic
    }

    /// Returns the token whose cancellation requests a graceful stop; any holder may cancel it.
    pub const fn stopping(&self) -> &tokio_sync::CancellationToken {
        &self.stopping
    }

    /// Runs a future on the traffic runtime and blocks until it completes; for start-up and tests.
    pub fn block_on<F: Future>(&self, future: F) -> F::Output {
        self.traffic_runtime.block_on(future)
    }

    /// Waits for SIGTERM, SIGINT, a requested stop or a fault, and then cancels [`Kernel::stopping`].
    ///
    /// # Errors
    ///
    /// Fails if the signal handlers cannot be installed.
    pub fn wait_for_stop(&mut self) -> io::Result<()> {
        let stopping = self.stopping.clone();
        let faults = &mut self.faults;
        let cause = self.traffic_runtime.block_on(async {
            tokio::select! {
                signal = signals::stop_signal() => signal.map(str::to_owned),
                () = stopping.cancelled() => Ok("a requested stop".to_owned()),
                Some(fault) = faults.recv() => Ok(fault.to_string()),
            }
        })?;
        log::info!("stopping because of {cause}");
        self.stopping.cancel();
        Ok(())
    }

    /// Cancels and joins all tasks; returns the faults that [`Kernel::wait_for_stop`] has not received.
    ///
    /// If a task does not end within 5 seconds, the last fault says so.
    #[must_use]
    pub fn close(mut self) -> Vec<fault::Fault> {
        self.stopping.cancel();
        let (control, traffic) = (self.control.clone(), self.traffic.clone());
        let all_ended = self.traffic_runtime.block_on(async {
            let ended = tokio::join!(traffic.close(CLOSE_TIMEOUT), control.close(CLOSE_TIMEOUT));
            ended.0 && ended.1
        });
        let mut faults = Vec::new();
        while let Ok(fault) = self.faults.try_recv() {
            faults.push(fault);
        }
        if !all_ended {
            faults.push(fault::Fault::new("kernel", &"tasks did not end after cancellation"));
        }
        drop(self.control_thread);
        self.traffic_runtime.shutdown_timeout(CLOSE_TIMEOUT);
        faults
    }
}
