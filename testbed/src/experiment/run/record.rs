//! What became of one request.

use trefoildyke_types::time::Timestamp;

/// Says how a request ended.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The whole answer came within the deadline.
    Completed,
    /// The request was refused before it was placed.
    Shed,
    /// The caller gave up before the request was placed.
    Expired,
    /// The caller gave up on a request that was placed.
    Late,
    /// The request was cut off because its endpoint was lost.
    Cut,
}

/// Records what became of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// When and where the request was placed.
    pub placed: Option<(Timestamp, usize)>,
    /// When the first token came.
    pub first: Option<Timestamp>,
    /// When the latest token came.
    pub latest: Option<Timestamp>,
    /// How many tokens came.
    pub tokens: u32,
    /// When and how the request ended; set in every record of a finished run.
    pub ended: Option<(Timestamp, Outcome)>,
}

impl Record {
    /// Returns when the request stopped waiting for a place, if it did.
    pub fn left_queue(&self) -> Option<Timestamp> {
        let placed = self.placed.map(|(at, _)| at);
        placed.or(self.ended.map(|(at, _)| at))
    }

    /// Returns how the request ended.
    pub fn outcome(&self) -> Option<Outcome> {
        self.ended.map(|(_, outcome)| outcome)
    }
}
