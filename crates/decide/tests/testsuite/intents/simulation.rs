//! Several daemons that commit to one slot of a small key-value service which can fail.

use std::collections;

use trefoildyke_decide::intents;
use trefoildyke_types::request;

use crate::intents::fixture;

/// Switches one guard off, to show that the check notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Variant {
    /// As the product is.
    Whole,
    /// Writes do not compare the revision.
    NoCompare,
    /// Full parts are not sealed.
    NoSeal,
    /// All daemons use one nonce.
    NoNonce,
    /// A write that was not answered counts as refused.
    LossIsRefusal,
}

/// Says what becomes of a daemon's next step.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fate {
    /// It is carried out and answered.
    Answered,
    /// It is carried out and the answer is lost.
    AnswerLost,
    /// It is not carried out, and the daemon cannot know.
    CallLost,
    /// It is carried out later, and the daemon hears nothing.
    Delayed,
    /// It is refused.
    Refused,
    /// The oldest delayed write is carried out.
    Arrives,
    /// The daemon gives up and starts again with what it knows.
    GivesUp,
    /// The daemon dies; another life of it records the same requests anew.
    Restarts,
}

pub(super) const FATES: [Fate; 8] = [
    Fate::Answered,
    Fate::AnswerLost,
    Fate::CallLost,
    Fate::Delayed,
    Fate::Refused,
    Fate::Arrives,
    Fate::GivesUp,
    Fate::Restarts,
];

struct Write {
    index: u32,
    expect: u64,
    part: intents::Part,
}

struct Daemon {
    life: u64,
    commit: intents::Commit,
    rows: Vec<intents::Row>,
}

/// Holds all daemons, the slot's keys and what daemons were told.
pub(super) struct Simulation {
    variant: Variant,
    lives: u64,
    daemons: Vec<Daemon>,
    parts: collections::BTreeMap<u32, (u64, intents::Part)>,
    revision: u64,
    delayed: collections::VecDeque<Write>,
    told: Vec<(intents::Row, intents::Outcome)>,
}

impl Simulation {
    /// Creates `daemons` daemons that all record the same `requests` requests.
    pub(super) fn new(variant: Variant, daemons: usize, requests: u64) -> Self {
        let mut simulation = Self {
            variant,
            lives: 0,
            daemons: Vec::new(),
            parts: collections::BTreeMap::new(),
            revision: 0,
            delayed: collections::VecDeque::new(),
            told: Vec::new(),
        };
        for daemon in 0..daemons {
            // Each starts with another request, so that batches cross.
            let shift = daemon as u64;
            let numbers: Vec<u64> =
                (0..requests).map(|number| (number + shift) % requests).collect();
            let daemon = simulation.start(&numbers, intents::Ledger::default());
            simulation.daemons.push(daemon);
        }
        simulation
    }

    fn start(&mut self, numbers: &[u64], ledger: intents::Ledger) -> Daemon {
        self.lives += 1;
        let nonce = if self.variant == Variant::NoNonce { 1 } else { self.lives };
        let rows: Vec<_> = numbers.iter().map(|&number| fixture::row(number, nonce)).collect();
        let retention = fixture::RETENTION;
        let commit = intents::Commit::new(ledger, retention, fixture::SMALL_PART, rows.clone());
        Daemon { life: self.lives, commit, rows }
    }

    /// Lets one daemon take its next step.
    pub(super) fn step(&mut self, daemon: usize, fate: Fate) {
        match fate {
            Fate::Arrives => {
                if let Some(write) = self.delayed.pop_front() {
                    self.write(&write);
                }
            }
            Fate::GivesUp => self.restart(daemon, true),
            Fate::Restarts => self.restart(daemon, false),
            _ => {
                let step = self.daemons[daemon].commit.next(fixture::NOW_MS);
                if let Some(event) = self.carry_out(step, fate) {
                    self.daemons[daemon].commit.observe(event);
                }
            }
        }
    }

    fn carry_out(&mut self, step: intents::Step, fate: Fate) -> Option<intents::Event> {
        match (step, fate) {
            (intents::Step::Done, _) => None,
            (_, Fate::Refused) => Some(intents::Event::Refused),
            (intents::Step::Read { first }, Fate::Answered) => Some(self.read(first)),
            (intents::Step::Read { .. }, _) => Some(intents::Event::Refused),
            (intents::Step::Write { index, expect, part }, _) => {
                let write = Write { index, expect, part };
                Some(self.write_with(write, fate))
            }
        }
    }

    fn write_with(&mut self, write: Write, fate: Fate) -> intents::Event {
        match fate {
            Fate::Answered => return self.write(&write),
            Fate::AnswerLost => drop(self.write(&write)),
            Fate::Delayed => self.delayed.push_back(write),
            _ => {}
        }
        match self.variant {
            Variant::LossIsRefusal => intents::Event::Refused,
            _ => intents::Event::Lost,
        }
    }

    fn read(&self, first: u32) -> intents::Event {
        // Two at a time, so that a read may have to go on.
        let found = self.parts.range(first..).take(2).map(|(&index, (revision, part))| {
            intents::Stored { index, revision: *revision, part: part.clone() }
        });
        intents::Event::Found(found.collect())
    }

    fn write(&mut self, write: &Write) -> intents::Event {
        let current = self.parts.get(&write.index);
        let revision = current.map_or(0, |(revision, _)| *revision);
        if revision != write.expect && self.variant != Variant::NoCompare {
            let stands = current.map(|(revision, part)| intents::Stored {
                index: write.index,
                revision: *revision,
                part: part.clone(),
            });
            return intents::Event::Conflict(stands);
        }
        self.revision += 1;
        let mut part = write.part.clone();
        if self.variant == Variant::NoSeal {
            part.sealed = false;
        }
        self.parts.insert(write.index, (self.revision, part));
        intents::Event::Written { revision: self.revision }
    }

    fn restart(&mut self, daemon: usize, keeps_ledger: bool) {
        let rows = self.daemons[daemon].rows.iter();
        let numbers: Vec<u64> = rows.map(|row| fixture::number(&row.key)).collect();
        let fresh = self.start(&numbers, intents::Ledger::default());
        let ended = std::mem::replace(&mut self.daemons[daemon], fresh);
        if !keeps_ledger {
            return;
        }
        let ledger = self.tell(ended);
        let rows = self.daemons[daemon].rows.clone();
        let retention = fixture::RETENTION;
        self.daemons[daemon].commit =
            intents::Commit::new(ledger, retention, fixture::SMALL_PART, rows);
    }

    fn tell(&mut self, daemon: Daemon) -> intents::Ledger {
        let (ledger, outcomes) = daemon.commit.finish(fixture::NOW_MS);
        self.told.extend(daemon.rows.into_iter().zip(outcomes));
        ledger
    }

    /// Ends all daemons and says what is wrong, if anything.
    pub(super) fn check(mut self) -> Result<(), String> {
        for daemon in std::mem::take(&mut self.daemons) {
            self.tell(daemon);
        }
        while let Some(write) = self.delayed.pop_front() {
            self.write(&write);
        }
        let mut standing = collections::HashMap::new();
        for (_, part) in self.parts.values() {
            for row in &part.rows {
                if standing.insert(row.key.clone(), row.record.clone()).is_some() {
                    return Err(format!("{} stands twice", row.key));
                }
            }
        }
        self.check_told(&standing)
    }

    fn check_told(
        &self,
        standing: &collections::HashMap<trefoildyke_types::id::RequestKey, request::Record>,
    ) -> Result<(), String> {
        let mut created = collections::HashSet::new();
        for (row, outcome) in &self.told {
            let stands = standing.get(&row.key);
            let right = match outcome {
                intents::Outcome::Created => {
                    created.insert(&row.key) && stands == Some(&row.record)
                }
                intents::Outcome::Exists(record) => stands == Some(record),
                intents::Outcome::Unavailable | intents::Outcome::Expired => {
                    stands != Some(&row.record)
                }
                intents::Outcome::Unsure => true,
            };
            if !right {
                return Err(format!("{} was told {outcome:?}, but {stands:?} stands", row.key));
            }
        }
        Ok(())
    }

    /// Lets every daemon finish without faults.
    pub(super) fn settle(&mut self) {
        for daemon in 0..self.daemons.len() {
            let rows = self.daemons[daemon].rows.len();
            // Each row takes at most a read, a conflict and a write.
            for _ in 0..(rows + 2) * 3 * self.daemons.len() {
                self.step(daemon, Fate::Answered);
            }
        }
    }

    /// Returns how many lives there were, and how many rows stand in how many parts.
    pub(super) fn extent(&self) -> (u64, usize, usize) {
        let rows = self.parts.values().map(|(_, part)| part.rows.len()).sum();
        let newest = self.daemons.iter().map(|daemon| daemon.life).max();
        (newest.unwrap_or_default(), rows, self.parts.len())
    }
}
