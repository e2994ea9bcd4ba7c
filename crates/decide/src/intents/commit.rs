//! Takes a batch of rows of one slot to their outcomes.

use crate::intents::{Event, Ledger, Outcome, Part, Retention, Row, Step};

/// Takes a batch of rows of one slot to their outcomes.
///
/// Call [`Commit::next`], carry the step out, pass on what became of it by [`Commit::observe`], and
/// repeat until [`Step::Done`] or until there is no more time. [`Commit::finish`] then tells each
/// row's outcome, and only claims what is certain.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Commit {
    ledger: Ledger,
    retention: Retention,
    /// The bytes at which a part is sealed.
    limit: usize,
    rows: Vec<Pending>,
    /// The write that has not been answered yet.
    writing: Option<Part>,
    /// Whether the slot's end must be read, whatever the ledger knows.
    reading: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Pending {
    row: Row,
    /// Whether a write with the row was not answered.
    unsure: bool,
    outcome: Option<Outcome>,
}

impl Commit {
    /// Creates the commit of rows that all belong to the slot of `ledger`.
    pub fn new(ledger: Ledger, retention: Retention, limit: usize, rows: Vec<Row>) -> Self {
        let pending = |row| Pending { row, unsure: false, outcome: None };
        let rows = rows.into_iter().map(pending).collect();
        Self { ledger, retention, limit, rows, writing: None, reading: false }
    }

    /// Returns the commit with a read of the slot's end first.
    ///
    /// Once [`Self::has_read`], the ledger knows every record that stood when the commit began.
    #[must_use]
    pub fn read_first(mut self) -> Self {
        self.ledger.doubt();
        self.reading = true;
        self
    }

    /// Returns whether the read that [`Self::read_first`] asks for was answered.
    pub const fn has_read(&self) -> bool {
        !self.reading
    }

    /// Returns what is needed next; `now_ms` is the wall clock.
    pub fn next(&mut self, now_ms: u64) -> Step {
        self.settle(now_ms);
        if !self.reading && self.rows.iter().all(|pending| pending.outcome.is_some()) {
            return Step::Done;
        }
        let index = self.ledger.index();
        let Some((open, expect)) = self.ledger.last() else {
            return Step::Read { first: index };
        };
        let (part, _) = open.with(&self.waiting(), self.limit);
        self.writing = Some(part.clone());
        Step::Write { index, expect, part }
    }

    /// Takes note of what became of the last step.
    pub fn observe(&mut self, event: Event) {
        let writing = self.writing.take();
        match event {
            Event::Found(parts) => {
                self.ledger.read(parts);
                self.reading &= self.ledger.last().is_none() && !self.ledger.is_deleted();
            }
            Event::Written { revision } => {
                if let Some(part) = writing {
                    self.ledger.wrote(part, revision);
                }
            }
            Event::Conflict(stands) => self.ledger.conflict(stands),
            Event::Lost => {
                self.doubt(writing.as_ref());
                self.ledger.doubt();
            }
            Event::Refused => {}
        }
    }

    /// Ends the commit; the outcomes are in the order of the rows.
    pub fn finish(mut self, now_ms: u64) -> (Ledger, Vec<Outcome>) {
        self.settle(now_ms);
        let outcomes = self.rows.into_iter().map(Pending::finish).collect();
        (self.ledger, outcomes)
    }

    /// Gives an outcome to each row whose record is known or whose time has passed.
    fn settle(&mut self, now_ms: u64) {
        for pending in self.rows.iter_mut().filter(|pending| pending.outcome.is_none()) {
            pending.settle(&self.ledger, &self.retention, now_ms);
        }
    }

    /// Returns the rows to write, each key once.
    fn waiting(&self) -> Vec<&Row> {
        let mut keys = std::collections::HashSet::new();
        let waiting = self.rows.iter().filter(|pending| pending.outcome.is_none());
        waiting.map(|pending| &pending.row).filter(|row| keys.insert(&row.key)).collect()
    }

    fn doubt(&mut self, writing: Option<&Part>) {
        let Some(part) = writing else {
            return;
        };
        for pending in &mut self.rows {
            pending.unsure |= part.rows.contains(&pending.row);
        }
    }
}

impl Pending {
    fn settle(&mut self, ledger: &Ledger, retention: &Retention, now_ms: u64) {
        let id = &self.row.key.id;
        self.outcome = match ledger.find(&self.row.key) {
            Some(record) if *record != self.row.record => Some(Outcome::Exists(record.clone())),
            Some(_) if retention.proves(id, now_ms) => Some(Outcome::Created),
            Some(_) => Some(Outcome::Unsure),
            None if ledger.is_deleted() || !retention.accepts(id, now_ms) => {
                Some(if self.unsure { Outcome::Unsure } else { Outcome::Expired })
            }
            None => None,
        };
    }

    fn finish(self) -> Outcome {
        let unsettled = if self.unsure { Outcome::Unsure } else { Outcome::Unavailable };
        self.outcome.unwrap_or(unsettled)
    }
}
