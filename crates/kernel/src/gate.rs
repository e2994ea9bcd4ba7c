//! Admission of work until a graceful stop.

use std::sync;
use std::sync::atomic;

use tokio_util::sync as tokio_sync;

use crate::count;

#[derive(Debug)]
struct Shared {
    count: count::Count<atomic::AtomicUsize>,
    /// Cancelled once, when the gate is closed and nothing is in progress.
    drained: tokio_sync::CancellationToken,
}

/// Admits work until it is closed, and tells when all admitted work has ended.
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
        let count = count::Count::new(atomic::AtomicUsize::new(0));
        let drained = tokio_sync::CancellationToken::new();
        Self { shared: sync::Arc::new(Shared { count, drained }) }
    }
}

impl Gate {
    /// Admits one piece of work; `None` if the gate is closed.
    ///
    /// The work is in progress until the pass is dropped.
    pub fn enter(&self) -> Option<Pass> {
        self.shared.count.enter().then(|| Pass { shared: sync::Arc::clone(&self.shared) })
    }

    /// Closes the gate: nothing more is admitted, what was admitted goes on.
    pub fn close(&self) {
        if self.shared.count.close() {
            self.shared.drained.cancel();
        }
    }

    /// Returns how much admitted work is in progress.
    pub fn in_progress(&self) -> usize {
        self.shared.count.value()
    }

    /// Returns whether the gate is closed.
    pub fn is_closed(&self) -> bool {
        self.shared.count.is_closed()
    }

    /// Returns whether the gate is closed and nothing is in progress.
    pub fn is_drained(&self) -> bool {
        self.shared.drained.is_cancelled()
    }

    /// Waits until the gate is closed and nothing is in progress.
    pub async fn drained(&self) {
        self.shared.drained.cancelled().await;
    }
}

/// Marks admitted work as in progress until it is dropped.
#[derive(Debug)]
pub struct Pass {
    shared: sync::Arc<Shared>,
}

impl Drop for Pass {
    fn drop(&mut self) {
        if self.shared.count.leave() {
            self.shared.drained.cancel();
        }
    }
}
