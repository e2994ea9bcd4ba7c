//! Admission of work until a graceful stop begins.

use std::sync;
use std::sync::atomic;

use tokio_util::sync as tokio_sync;

use crate::counter;

#[derive(Debug)]
struct Shared {
    counter: counter::ClosableCounter<atomic::AtomicUsize>,
    /// Cancelled once, when the gate is closed and no work is in progress.
    drained: tokio_sync::CancellationToken,
}

/// A gate that admits work until it is closed, and signals when all admitted work has ended.
///
/// Clones share the same state.
///
/// ```
/// let gate = trefoildyke_kernel::Gate::default();
/// let pass = gate.enter();
/// assert!(pass.is_some());
/// gate.close();
/// assert!(gate.enter().is_none());
/// assert!(!gate.is_drained());
/// drop(pass);
/// assert!(gate.is_drained());
/// ```
#[derive(Clone, Debug)]
pub struct Gate {
    shared: sync::Arc<Shared>,
}

impl Default for Gate {
    fn default() -> Self {
        let counter = counter::ClosableCounter::new(atomic::AtomicUsize::new(0));
        let drained = tokio_sync::CancellationToken::new();
        Self { shared: sync::Arc::new(Shared { counter, drained }) }
    }
}

impl Gate {
    /// Admits one piece of work; returns `None` if the gate is closed.
    ///
    /// The work counts as in progress until the returned pass is dropped.
    pub fn enter(&self) -> Option<Pass> {
        self.shared.counter.try_start().then(|| Pass { shared: sync::Arc::clone(&self.shared) })
    }

    /// Closes the gate: no more work is admitted, and admitted work continues.
    pub fn close(&self) {
        if self.shared.counter.close() {
            self.shared.drained.cancel();
        }
    }

    /// Returns the number of admitted pieces of work in progress.
    pub fn in_progress(&self) -> usize {
        self.shared.counter.in_progress()
    }

    /// Returns whether the gate is closed.
    pub fn is_closed(&self) -> bool {
        self.shared.counter.is_closed()
    }

    /// Returns whether the gate is closed and no work is in progress.
    pub fn is_drained(&self) -> bool {
        self.shared.drained.is_cancelled()
    }

    /// Waits until the gate is closed and no work is in progress.
    pub async fn drained(&self) {
        self.shared.drained.cancelled().await;
    }
}

/// A guard that keeps one admitted piece of work in progress until it is dropped.
#[derive(Debug)]
pub struct Pass {
    shared: sync::Arc<Shared>,
}

impl Drop for Pass {
    fn drop(&mut self) {
        if self.shared.counter.finish() {
            self.shared.drained.cancel();
        }
    }
}
