//! The load of an endpoint.

/// The number of requests and prompt tokens at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Load {
    /// The number of requests that were sent and have not ended.
    pub(super) running: u32,
    /// The number of prompt tokens of requests whose first event has not arrived.
    pub(super) prefill: u32,
}

impl Load {
    pub(super) const fn add(&mut self, prompt: u32) {
        self.running += 1;
        self.prefill = self.prefill.saturating_add(prompt);
    }

    pub(super) const fn remove(&mut self, prompt: u32) {
        self.running = self.running.saturating_sub(1);
        self.prefill = self.prefill.saturating_sub(prompt);
    }

    /// Returns the difference, at least zero.
    pub(super) const fn minus(self, other: Self) -> Self {
        Self {
            running: self.running.saturating_sub(other.running),
            prefill: self.prefill.saturating_sub(other.prefill),
        }
    }

    /// Returns the sum.
    pub(super) const fn plus(self, other: Self) -> Self {
        Self {
            running: self.running + other.running,
            prefill: self.prefill.saturating_add(other.prefill),
        }
    }
}
