//! A counter of work in progress that can be closed.

use std::sync::atomic;

/// A shared machine word with atomic operations.
///
/// The daemon uses an atomic integer; the tests use a loom model of one.
pub trait SharedWord {
    /// Returns the value.
    fn load(&self) -> usize;

    /// Stores `new` if the value is `old`, and returns the previous value.
    ///
    /// # Errors
    ///
    /// Returns the current value if it is not `old`.
    fn compare_exchange(&self, old: usize, new: usize) -> Result<usize, usize>;
}

impl SharedWord for atomic::AtomicUsize {
    fn load(&self) -> usize {
        self.load(atomic::Ordering::Acquire)
    }

    fn compare_exchange(&self, old: usize, new: usize) -> Result<usize, usize> {
        let ordering = (atomic::Ordering::AcqRel, atomic::Ordering::Acquire);
        self.compare_exchange(old, new, ordering.0, ordering.1)
    }
}

const CLOSED_BIT: usize = 1;
const INCREMENT: usize = 2;

/// A counter of work in progress that can be closed to new work.
///
/// Across all threads, exactly one call of [`ClosableCounter::finish`] or [`ClosableCounter::close`] returns
/// true: the one that leaves the counter closed and at zero.
#[derive(Debug, Default)]
pub struct ClosableCounter<W> {
    /// The lowest bit is set when the counter is closed and is never cleared; the other bits hold the count.
    word: W,
}

impl<W: SharedWord> ClosableCounter<W> {
    /// Creates an open counter over `word`, which must be zero.
    pub const fn new(word: W) -> Self {
        Self { word }
    }

    /// Adds one piece of work unless the counter is closed; returns whether it was added.
    pub fn try_start(&self) -> bool {
        let increment = |word| (word & CLOSED_BIT == 0).then_some(word + INCREMENT);
        self.update(increment).is_some()
    }

    /// Removes one piece of work; returns whether it was the last one of a closed counter.
    pub fn finish(&self) -> bool {
        let decrement = |word: usize| word.checked_sub(INCREMENT);
        self.update(decrement) == Some(CLOSED_BIT)
    }

    /// Closes the counter; returns whether it was open and at zero.
    pub fn close(&self) -> bool {
        let close = |word| (word & CLOSED_BIT == 0).then_some(word | CLOSED_BIT);
        self.update(close) == Some(CLOSED_BIT)
    }

    /// Returns the number of pieces of work in progress.
    pub fn in_progress(&self) -> usize {
        self.word.load() / INCREMENT
    }

    /// Returns whether the counter is closed.
    pub fn is_closed(&self) -> bool {
        self.word.load() & CLOSED_BIT != 0
    }

    fn update(&self, next: impl Fn(usize) -> Option<usize>) -> Option<usize> {
        let mut old = self.word.load();
        loop {
            let new = next(old)?;
            match self.word.compare_exchange(old, new) {
                Ok(_) => return Some(new),
                Err(current) => old = current,
            }
        }
    }
}
