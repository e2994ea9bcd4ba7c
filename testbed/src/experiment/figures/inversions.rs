//! Tier inversions.

use trefoildyke_types::time::Timestamp;

use crate::experiment::{arrivals, run};

/// Counts pairs of requests that break the order of tiers.
///
/// A request is turned away when it is shed, or when its caller gives up before it was placed.
/// Both counts are 0 in a run that keeps `TierOrder`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Inversions {
    /// Pairs in which one was turned away while the other, of a lower tier, still waited.
    pub waiting: u64,
    /// Pairs in which one was turned away and the other, of a lower tier, was placed afterwards,
    /// but before the first one's deadline.
    pub admitted: u64,
}

/// A change in the number of waiting requests, or a question about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Moment {
    Left(u8),
    Came(u8),
    /// Comes last of its time: what leaves at the same time no longer waits.
    Turned(u8),
}

impl Inversions {
    /// Counts the inversions of a run.
    pub fn count(arrivals: &[arrivals::Arrival], records: &[run::Record]) -> Self {
        Self {
            waiting: count_waiting(arrivals, records),
            admitted: count_admitted(arrivals, records),
        }
    }

    /// Returns the sum of both counts.
    pub fn total(&self) -> u64 {
        self.waiting + self.admitted
    }
}

fn turned_away(record: &run::Record) -> Option<Timestamp> {
    let (at, outcome) = record.ended?;
    let turned = matches!(outcome, run::Outcome::Shed | run::Outcome::Expired);
    (turned && record.placed.is_none()).then_some(at)
}

fn count_waiting(arrivals: &[arrivals::Arrival], records: &[run::Record]) -> u64 {
    let mut moments = Vec::new();
    for (arrival, record) in arrivals.iter().zip(records) {
        moments.push((arrival.at, Moment::Came(arrival.rank)));
        moments.extend(record.left_queue().map(|at| (at, Moment::Left(arrival.rank))));
        moments.extend(turned_away(record).map(|at| (at, Moment::Turned(arrival.rank))));
    }
    moments.sort_unstable();
    let mut waiting = [0_i64; 256];
    let mut pairs = 0;
    for (_, moment) in moments {
        match moment {
            Moment::Came(rank) => waiting[usize::from(rank)] += 1,
            Moment::Left(rank) => waiting[usize::from(rank)] -= 1,
            Moment::Turned(rank) => pairs += waiting[usize::from(rank) + 1..].iter().sum::<i64>(),
        }
    }
    pairs.unsigned_abs()
}

fn count_admitted(arrivals: &[arrivals::Arrival], records: &[run::Record]) -> u64 {
    let placed = |(arrival, record): (&arrivals::Arrival, &run::Record)| {
        record.placed.map(|(at, _)| (arrival.rank, at))
    };
    let mut placed: Vec<_> = arrivals.iter().zip(records).filter_map(placed).collect();
    placed.sort_unstable();
    let ranks = placed.last().map_or(0, |(rank, _)| *rank);
    let mut pairs = 0;
    for (arrival, record) in arrivals.iter().zip(records) {
        let Some(turned) = turned_away(record) else { continue };
        for rank in arrival.rank + 1..=ranks {
            let before = |limit| placed.partition_point(|one| *one <= (rank, limit));
            pairs += before(arrival.deadline()).saturating_sub(before(turned)) as u64;
        }
    }
    pairs
}
