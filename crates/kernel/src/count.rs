//! A counter of work in progress that can be closed.

use std::sync::atomic;

/// A shared machine word; the daemon uses an atomic integer, the tests a model of one.
pub trait Word {
    /// Reads the word.
    fn load(&self) -> usize;

    /// Writes `new` if the word is still `old`.
    ///
    /// # Errors
    ///
    /// Returns what the word is instead.
    fn replace(&self, old: usize, new: usize) -> Result<usize, usize>;
}

impl Word for atomic::AtomicUsize {
    fn load(&self) -> usize {
        self.load(atomic::Ordering::Acquire)
    }

    fn replace(&self, old: usize, new: usize) -> Result<usize, usize> {
        let ordering = (atomic::Ordering::AcqRel, atomic::Ordering::Acquire);
        self.compare_exchange(old, new, ordering.0, ordering.1)
    }
}

const CLOSED: usize = 1;
const ONE: usize = 2;

/// Counts work in progress until it is closed and empty.
///
/// Over all threads exactly one call of [`Count::leave`] or [`Count::close`] returns true: the one
/// after which the count is closed and zero.
#[derive(Debug, Default)]
pub struct Count<W> {
    /// The lowest bit says closed; the others count. Closed is never undone.
    word: W,
}

impl<W: Word> Count<W> {
    /// Creates an open count over a word that is zero.
    pub const fn new(word: W) -> Self {
        Self { word }
    }

    /// Counts one more, unless the count is closed; says whether it was counted.
    pub fn enter(&self) -> bool {
        let open = |word| (word & CLOSED == 0).then_some(word + ONE);
        self.change(open).is_some()
    }

    /// Counts one less and says whether that was the last after closing.
    pub fn leave(&self) -> bool {
        let less = |word: usize| word.checked_sub(ONE);
        self.change(less) == Some(CLOSED)
    }

    /// Closes the count and says whether it was open and already empty.
    pub fn close(&self) -> bool {
        let closed = |word| (word & CLOSED == 0).then_some(word | CLOSED);
        self.change(closed) == Some(CLOSED)
    }

    /// Returns how much is in progress.
    pub fn value(&self) -> usize {
        self.word.load() / ONE
    }

    /// Returns whether the count is closed.
    pub fn is_closed(&self) -> bool {
        self.word.load() & CLOSED != 0
    }

    fn change(&self, next: impl Fn(usize) -> Option<usize>) -> Option<usize> {
        let mut old = self.word.load();
        loop {
            let new = next(old)?;
            match self.word.replace(old, new) {
                Ok(_) => return Some(new),
                Err(current) => old = current,
            }
        }
    }
}
