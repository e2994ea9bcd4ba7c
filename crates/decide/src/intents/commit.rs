//! The commit of a batch of rows to one slot.

use crate::intents::{Outcome, Part, Retention, Row, SlotCache, Step, StepResult};

/// A state machine that writes a batch of rows to one slot and determines the outcome of each row.
///
/// Call [`Commit::next`], carry out the step, report its result to [`Commit::observe`], and repeat until
/// [`Step::Done`] or until the time is up. [`Commit::finish`] then returns the outcome of each row. It
/// states only what is certain.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Commit {
    cache: SlotCache,
    retention: Retention,
    /// The size limit in bytes at which a part is sealed.
    limit: usize,
    rows: Vec<PendingRow>,
    /// The part that is being written, until the write is answered.
    written_part: Option<Part>,
    /// Whether the last parts of the slot must be read, even if the cache is up to date.
    must_read: bool,
}

/// A row with its outcome, once that is known.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingRow {
    row: Row,
    /// Whether a write that contains the row was not answered.
    unanswered: bool,
    outcome: Option<Outcome>,
}

impl Commit {
    /// Creates the commit of rows that all belong to the slot of `cache`.
    ///
    /// `limit` is the size limit of a part in bytes.
    pub fn new(cache: SlotCache, retention: Retention, limit: usize, rows: Vec<Row>) -> Self {
        let pending = |row| PendingRow { row, unanswered: false, outcome: None };
        let rows = rows.into_iter().map(pending).collect();
        Self { cache, retention, limit, rows, written_part: None, must_read: false }
    }

    /// Returns the commit changed so that it first reads the last parts of the slot.
    ///
    /// Once [`Self::is_read_done`] holds, the cache contains every record that existed when the commit
    /// started.
    #[must_use]
    pub fn with_fresh_read(mut self) -> Self {
        self.cache.mark_stale();
        self.must_read = true;
        self
    }

    /// Returns whether the read required by [`Self::with_fresh_read`] is complete.
    pub const fn is_read_done(&self) -> bool {
        !self.must_read
    }

    /// Returns the next step; `now_ms` is the wall-clock time in milliseconds since the Unix epoch.
    pub fn next(&mut self, now_ms: u64) -> Step {
        self.resolve(now_ms);
        if !self.must_read && self.rows.iter().all(|pending| pending.outcome.is_some()) {
            return Step::Done;
        }
        let index = self.cache.index();
        let Some((last_part, expected_revision)) = self.cache.last() else {
            return Step::Read { first: index };
        };
        let (part, _) = last_part.append(&self.unresolved_rows(), self.limit);
        self.written_part = Some(part.clone());
        Step::Write { index, expected_revision, part }
    }

    /// Handles the result of the last step.
    pub fn observe(&mut self, result: StepResult) {
        let written_part = self.written_part.take();
        match result {
            StepResult::Found(parts) => {
                self.cache.apply_read(parts);
                self.must_read &= self.cache.last().is_none() && !self.cache.is_deleted();
            }
            StepResult::Written { revision } => {
                if let Some(part) = written_part {
                    self.cache.apply_write(part, revision);
                }
            }
            StepResult::Conflict(existing) => self.cache.apply_conflict(existing),
            StepResult::Unanswered => {
                self.mark_unanswered(written_part.as_ref());
                self.cache.mark_stale();
            }
            StepResult::Refused => {}
        }
    }

    /// Ends the commit and returns the cache and the outcomes in the order of the rows.
    ///
    /// `now_ms` is the wall-clock time in milliseconds since the Unix epoch.
    pub fn finish(mut self, now_ms: u64) -> (SlotCache, Vec<Outcome>) {
        self.resolve(now_ms);
        let outcomes = self.rows.into_iter().map(PendingRow::finish).collect();
        (self.cache, outcomes)
    }

    /// Sets the outcome of each row whose record is known or that can no longer be recorded.
    fn resolve(&mut self, now_ms: u64) {
        for pending in self.rows.iter_mut().filter(|pending| pending.outcome.is_none()) {
            pending.resolve(&self.cache, &self.retention, now_ms);
        }
    }

    /// Returns the rows without an outcome, each key once.
    fn unresolved_rows(&self) -> Vec<&Row> {
        let mut keys = std::collections::HashSet::new();
        let unresolved_rows = self.rows.iter().filter(|pending| pending.outcome.is_none());
        unresolved_rows.map(|pending| &pending.row).filter(|row| keys.insert(&row.key)).collect()
    }

    /// Marks the rows of an unanswered write.
    fn mark_unanswered(&mut self, written_part: Option<&Part>) {
        let Some(part) = written_part else {
            return;
        };
        for pending in &mut self.rows {
            pending.unanswered |= part.rows.contains(&pending.row);
        }
    }
}

impl PendingRow {
    fn resolve(&mut self, cache: &SlotCache, retention: &Retention, now_ms: u64) {
        let id = &self.row.key.id;
        self.outcome = match cache.find(&self.row.key) {
            Some(record) if *record != self.row.record => Some(Outcome::Exists(record.clone())),
            Some(_) if retention.proves_creation(id, now_ms) => Some(Outcome::Created),
            Some(_) => Some(Outcome::Unknown),
            None if cache.is_deleted() || !retention.accepts(id, now_ms) => {
                Some(if self.unanswered { Outcome::Unknown } else { Outcome::Expired })
            }
            None => None,
        };
    }

    fn finish(self) -> Outcome {
        let unresolved = if self.unanswered { Outcome::Unknown } else { Outcome::Unavailable };
        self.outcome.unwrap_or(unresolved)
    }
}
