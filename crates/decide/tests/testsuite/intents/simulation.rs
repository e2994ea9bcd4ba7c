//! A simulation of several daemons that commit to one slot of a key-value service with faults.

use std::collections;

use trefoildyke_decide::intents;
use trefoildyke_types::request;

use crate::intents::fixture;

/// A variant of the protocol. All but the first omit one guard, to show that the check detects its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Variant {
    /// The protocol with all guards.
    AllGuards,
    /// Writes do not compare the revision.
    NoCompare,
    /// Full parts are not sealed in the key-value service.
    NoSeal,
    /// All daemons use the same nonce.
    NoNonce,
    /// A write that was not answered is treated as refused.
    LossIsRefusal,
}

/// One transition of the simulation: the result of a daemon's next step, or another event.
#[derive(Clone, Copy, Debug)]
pub(super) enum Transition {
    /// The step is carried out and answered.
    Answered,
    /// The step is carried out, but its answer is lost.
    AnswerLost,
    /// The step is not carried out, and the daemon gets no answer.
    CallLost,
    /// The step is carried out later, and the daemon gets no answer.
    Delayed,
    /// The step is refused.
    Refused,
    /// The oldest delayed write is carried out.
    DelayedArrives,
    /// The daemon ends its commit and starts again with the same cache.
    GivesUp,
    /// The daemon crashes; a new incarnation of it records the same requests again.
    Restarts,
}

pub(super) const TRANSITIONS: [Transition; 8] = [
    Transition::Answered,
    Transition::AnswerLost,
    Transition::CallLost,
    Transition::Delayed,
    Transition::Refused,
    Transition::DelayedArrives,
    Transition::GivesUp,
    Transition::Restarts,
];

struct Write {
    index: u32,
    expected_revision: u64,
    part: intents::Part,
}

struct Daemon {
    incarnation: u64,
    commit: intents::Commit,
    rows: Vec<intents::Row>,
}

/// All daemons, the slot's parts and the outcomes that were reported.
pub(super) struct Simulation {
    variant: Variant,
    incarnations: u64,
    daemons: Vec<Daemon>,
    parts: collections::BTreeMap<u32, (u64, intents::Part)>,
    revision: u64,
    delayed: collections::VecDeque<Write>,
    reported: Vec<(intents::Row, intents::Outcome)>,
}

impl Simulation {
    /// Creates `daemons` daemons that all record the same `requests` requests.
    pub(super) fn new(variant: Variant, daemons: usize, requests: u64) -> Self {
        let mut simulation = Self {
            variant,
            incarnations: 0,
            daemons: Vec::new(),
            parts: collections::BTreeMap::new(),
            revision: 0,
            delayed: collections::VecDeque::new(),
            reported: Vec::new(),
        };
        for daemon in 0..daemons {
            // Each daemon starts with a different request, so that batches overlap in different orders.
            let shift = daemon as u64;
            let numbers: Vec<u64> =
                (0..requests).map(|number| (number + shift) % requests).collect();
            let daemon = simulation.start(&numbers, intents::SlotCache::default());
            simulation.daemons.push(daemon);
        }
        simulation
    }

    fn start(&mut self, numbers: &[u64], cache: intents::SlotCache) -> Daemon {
        self.incarnations += 1;
        let nonce = if self.variant == Variant::NoNonce { 1 } else { self.incarnations };
        let rows: Vec<_> = numbers.iter().map(|&number| fixture::row(number, nonce)).collect();
        let retention = fixture::RETENTION;
        let commit = intents::Commit::new(cache, retention, fixture::SMALL_PART, rows.clone());
        Daemon { incarnation: self.incarnations, commit, rows }
    }

    /// Applies one transition, in most cases the next step of a daemon.
    pub(super) fn step(&mut self, daemon: usize, transition: Transition) {
        match transition {
            Transition::DelayedArrives => {
                if let Some(write) = self.delayed.pop_front() {
                    self.write(&write);
                }
            }
            Transition::GivesUp => self.restart(daemon, true),
            Transition::Restarts => self.restart(daemon, false),
            _ => {
                let step = self.daemons[daemon].commit.next(fixture::NOW_MS);
                if let Some(event) = self.carry_out(step, transition) {
                    self.daemons[daemon].commit.observe(event);
                }
            }
        }
    }

    fn carry_out(
        &mut self,
        step: intents::Step,
        transition: Transition,
    ) -> Option<intents::StepResult> {
        match (step, transition) {
            (intents::Step::Done, _) => None,
            (_, Transition::Refused) => Some(intents::StepResult::Refused),
            (intents::Step::Read { first }, Transition::Answered) => Some(self.read(first)),
            (intents::Step::Read { .. }, _) => Some(intents::StepResult::Refused),
            (intents::Step::Write { index, expected_revision, part }, _) => {
                let write = Write { index, expected_revision, part };
                Some(self.write_with(write, transition))
            }
        }
    }

    fn write_with(&mut self, write: Write, transition: Transition) -> intents::StepResult {
        match transition {
            Transition::Answered => return self.write(&write),
            Transition::AnswerLost => drop(self.write(&write)),
            Transition::Delayed => self.delayed.push_back(write),
            _ => {}
        }
        match self.variant {
            Variant::LossIsRefusal => intents::StepResult::Refused,
            _ => intents::StepResult::Unanswered,
        }
    }

    fn read(&self, first: u32) -> intents::StepResult {
        // A read returns at most two parts, so that it may have to be continued.
        let found = self.parts.range(first..).take(2).map(|(&index, (revision, part))| {
            intents::Stored { index, revision: *revision, part: part.clone() }
        });
        intents::StepResult::Found(found.collect())
    }

    fn write(&mut self, write: &Write) -> intents::StepResult {
        let current = self.parts.get(&write.index);
        let revision = current.map_or(0, |(revision, _)| *revision);
        if revision != write.expected_revision && self.variant != Variant::NoCompare {
            let stands = current.map(|(revision, part)| intents::Stored {
                index: write.index,
                revision: *revision,
                part: part.clone(),
            });
            return intents::StepResult::Conflict(stands);
        }
        self.revision += 1;
        let mut part = write.part.clone();
        if self.variant == Variant::NoSeal {
            part.sealed = false;
        }
        self.parts.insert(write.index, (self.revision, part));
        intents::StepResult::Written { revision: self.revision }
    }

    fn restart(&mut self, daemon: usize, keeps_cache: bool) {
        let rows = self.daemons[daemon].rows.iter();
        let numbers: Vec<u64> = rows.map(|row| fixture::number(&row.key)).collect();
        let fresh = self.start(&numbers, intents::SlotCache::default());
        let ended = std::mem::replace(&mut self.daemons[daemon], fresh);
        if !keeps_cache {
            return;
        }
        let cache = self.report(ended);
        let rows = self.daemons[daemon].rows.clone();
        let retention = fixture::RETENTION;
        self.daemons[daemon].commit =
            intents::Commit::new(cache, retention, fixture::SMALL_PART, rows);
    }

    fn report(&mut self, daemon: Daemon) -> intents::SlotCache {
        let (cache, outcomes) = daemon.commit.finish(fixture::NOW_MS);
        self.reported.extend(daemon.rows.into_iter().zip(outcomes));
        cache
    }

    /// Ends all daemons and checks the stored rows and the reported outcomes.
    ///
    /// # Errors
    ///
    /// Returns a description of the first fault.
    pub(super) fn check(mut self) -> Result<(), String> {
        for daemon in std::mem::take(&mut self.daemons) {
            self.report(daemon);
        }
        while let Some(write) = self.delayed.pop_front() {
            self.write(&write);
        }
        let mut stored_rows = collections::HashMap::new();
        for (_, part) in self.parts.values() {
            for row in &part.rows {
                if stored_rows.insert(row.key.clone(), row.record.clone()).is_some() {
                    return Err(format!("{} is stored twice", row.key));
                }
            }
        }
        self.check_reported(&stored_rows)
    }

    fn check_reported(
        &self,
        stored_rows: &collections::HashMap<trefoildyke_types::id::RequestKey, request::Record>,
    ) -> Result<(), String> {
        let mut created = collections::HashSet::new();
        for (row, outcome) in &self.reported {
            let stands = stored_rows.get(&row.key);
            let right = match outcome {
                intents::Outcome::Created => {
                    created.insert(&row.key) && stands == Some(&row.record)
                }
                intents::Outcome::Exists(record) => stands == Some(record),
                intents::Outcome::Unavailable | intents::Outcome::Expired => {
                    stands != Some(&row.record)
                }
                intents::Outcome::Unknown => true,
            };
            if !right {
                return Err(format!(
                    "the outcome of {} is {outcome:?}, but {stands:?} is stored",
                    row.key
                ));
            }
        }
        Ok(())
    }

    /// Lets every daemon finish without faults.
    pub(super) fn finish_commits(&mut self) {
        for daemon in 0..self.daemons.len() {
            let rows = self.daemons[daemon].rows.len();
            // Each row takes at most a read, a conflict and a write.
            for _ in 0..(rows + 2) * 3 * self.daemons.len() {
                self.step(daemon, Transition::Answered);
            }
        }
    }

    /// Returns the newest incarnation, the number of stored rows and the number of parts.
    pub(super) fn extent(&self) -> (u64, usize, usize) {
        let rows = self.parts.values().map(|(_, part)| part.rows.len()).sum();
        let newest = self.daemons.iter().map(|daemon| daemon.incarnation).max();
        (newest.unwrap_or_default(), rows, self.parts.len())
    }
}
