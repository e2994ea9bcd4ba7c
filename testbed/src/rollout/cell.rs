//! What is played.

use std::fmt;

/// Describes a kind of run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cell {
    /// What is wrong with the new version; `None` for a good one.
    pub fault: Option<Fault>,
    /// What else goes wrong.
    pub beside: Beside,
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let beside = format!("{:?}", self.beside).to_lowercase();
        let Some(Fault { part, kind, onset }) = self.fault else {
            return write!(f, "good, {beside}");
        };
        match kind {
            Kind::Fails => write!(f, "{part} fail")?,
            Kind::Slow(times) => write!(f, "{part} take {times} times as long")?,
        }
        write!(f, ", {}, {beside}", format!("{onset:?}").to_lowercase())
    }
}

/// Describes what is wrong with a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// The part of its answers that are bad.
    pub part: f64,
    /// How.
    pub kind: Kind,
    /// When, or where.
    pub onset: Onset,
}

/// Says how answers are bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// They are failures.
    Fails,
    /// They take so many times as long.
    Slow(f64),
}

/// Says which answers may be bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Onset {
    /// All.
    Start,
    /// Those after three seconds.
    Later,
    /// Those at an endpoint with most of its slots taken.
    Loaded,
    /// Those of one route.
    Route,
}

/// Says what else goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Beside {
    /// Nothing.
    Calm,
    /// Twice the requests for three seconds, which slow all endpoints.
    Burst,
    /// Endpoints of either version that fail two answers in five, three in twenty of them.
    Ill,
}
