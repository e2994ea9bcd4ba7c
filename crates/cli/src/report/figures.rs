//! The figures of a report.

use std::collections;

use crate::report::{self, request};

/// Holds all figures of a report.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Figures {
    /// By second since the first request.
    pub seconds: Vec<Group>,
    /// By rank, the most urgent first.
    pub ranks: Vec<Group>,
    /// By route and fifth of the expected size, the smallest first.
    pub sizes: Vec<Group>,
    /// By third of the endpoints, the fastest first.
    pub speeds: Vec<Group>,
    /// By how many milliseconds first events came later than predicted (0 for those that did not).
    pub first_late: report::Quantiles,
    /// By how many milliseconds they came sooner than predicted (0 for those that did not).
    pub first_soon: report::Quantiles,
    /// Events of an answer in hundredths of what its expected length gives at the median.
    pub length: report::Quantiles,
    /// How long those that were served had waited for a place, in milliseconds.
    pub waited: report::Quantiles,
    /// For how long callers were told to stay away, in milliseconds.
    pub told: report::Quantiles,
    /// How long it took until a request of the same rank got a place without waiting, in milliseconds.
    pub free: report::Quantiles,
    /// How many of those that came back were served, in hundredths.
    pub returned: u64,
}

/// Holds the requests that are alike in something.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Group {
    /// In what.
    pub name: String,
    /// What became of them.
    pub tally: report::Tally,
}

/// Up to which wait a place counts as free, in milliseconds: the way to the daemon that places and back.
const FREE_MS: u64 = 20;

/// Into how many parts sizes are divided.
const PARTS: usize = 5;

/// Returns the figures of requests in the order of their arrival. Those whose rank is not known were
/// refused before anything was decided on them, and are only counted by second.
pub fn figures(requests: &[report::Request]) -> Figures {
    let ranked: Vec<_> = requests.iter().filter(|request| request.rank.is_some()).collect();
    let begin = requests.first().map_or(0, |request| request.arrived_ms);
    let second = |request: &report::Request| (request.arrived_ms - begin) / 1_000;
    let rank = |request: &&report::Request| request.rank.unwrap_or(u8::MAX);
    let placed = || ranked.iter().filter_map(|request| request.placed);
    let errors: Vec<_> =
        placed().filter_map(|placed| Some((placed.predicted_ms, placed.observed_ms?))).collect();
    Figures {
        seconds: groups(requests.iter(), second, |second| format!("{second}")),
        ranks: groups(ranked.iter().copied(), |request| rank(&request), |rank| format!("{rank}")),
        sizes: sizes(&ranked),
        speeds: speeds(&ranked),
        first_late: report::Quantiles::of(errors.iter().map(|(p, o)| o.saturating_sub(*p))),
        first_soon: report::Quantiles::of(errors.iter().map(|(p, o)| p.saturating_sub(*o))),
        length: report::Quantiles::of(lengths(&ranked)),
        waited: report::Quantiles::of(placed().map(|placed| placed.waited_ms)),
        told: report::Quantiles::of(ranked.iter().filter_map(|request| request.retry_ms)),
        free: report::Quantiles::of(waits_for_room(&ranked)),
        returned: returned(&ranked),
    }
}

fn groups<'a, K: Ord>(
    requests: impl Iterator<Item = &'a report::Request>,
    key: impl Fn(&'a report::Request) -> K,
    name: impl Fn(&K) -> String,
) -> Vec<Group> {
    let mut tallies: collections::BTreeMap<K, report::Tally> = collections::BTreeMap::new();
    for request in requests {
        tallies.entry(key(request)).or_default().count(request);
    }
    let group = |(key, tally): (K, report::Tally)| Group { name: name(&key), tally };
    tallies.into_iter().map(group).collect()
}

fn sizes(requests: &[&report::Request]) -> Vec<Group> {
    let mut routes: collections::BTreeMap<&str, Vec<&report::Request>> =
        collections::BTreeMap::new();
    for request in requests.iter().filter(|request| request.size > 0) {
        routes.entry(&request.route).or_default().push(request);
    }
    let mut found = Vec::new();
    for (route, mut requests) in routes {
        requests.sort_by_key(|request| request.size);
        let mut parts = vec![report::Tally::default(); PARTS];
        for (place, request) in requests.iter().enumerate() {
            parts[place * PARTS / requests.len()].count(request);
        }
        for (part, tally) in parts.into_iter().enumerate() {
            found.push(Group { name: format!("{route} {}/{PARTS}", part + 1), tally });
        }
    }
    found
}

/// Divides the endpoints into thirds by how long their answers took for what was expected of them.
fn speeds(requests: &[&report::Request]) -> Vec<Group> {
    let mut paces: collections::BTreeMap<&str, Vec<u64>> = collections::BTreeMap::new();
    for request in requests.iter().filter(|request| request.expected > 0 && request.events > 1) {
        if let Some(endpoint) = &request.endpoint {
            let pace = request.answer_ms * 1_000 / u64::from(request.events);
            paces.entry(endpoint).or_default().push(pace);
        }
    }
    let median = |(endpoint, paces): (&'_ str, Vec<u64>)| {
        (report::Quantiles::of(paces).p50, endpoint.to_owned())
    };
    let mut order: Vec<_> = paces.into_iter().map(median).collect();
    order.sort();
    let third = order.len().div_ceil(3).max(1);
    let place = |request: &report::Request| {
        let endpoint = request.endpoint.as_ref()?;
        order.iter().position(|(_, other)| other == endpoint).map(|place| place / third)
    };
    let served = requests.iter().copied().filter(|request| place(request).is_some());
    let names = ["fastest third", "middle third", "slowest third"];
    groups(served, place, |part| names[part.unwrap_or_default().min(2)].to_owned())
}

/// Returns how long each answer was, in hundredths of the median answer with what was expected.
fn lengths(requests: &[&report::Request]) -> Vec<u64> {
    let is_whole = |request: &&&report::Request| {
        let is_served = matches!(request.fate, request::Fate::InTime | request::Fate::Late);
        is_served && request.expected > 0 && request.events > 0
    };
    let ratio = |request: &&report::Request| {
        u64::from(request.events) * 1_000_000 / u64::from(request.expected)
    };
    let ratios: Vec<_> = requests.iter().filter(is_whole).map(ratio).collect();
    let median = report::Quantiles::of(ratios.iter().copied()).p50.max(1);
    ratios.into_iter().map(|ratio| ratio * 100 / median).collect()
}

/// Returns for each refusal how long it took until a request of its rank got a place without waiting.
fn waits_for_room(requests: &[&report::Request]) -> Vec<u64> {
    let mut free: collections::BTreeMap<Option<u8>, Vec<u64>> = collections::BTreeMap::new();
    for request in requests {
        if let Some(placed) = request.placed.filter(|placed| placed.waited_ms <= FREE_MS) {
            free.entry(request.rank).or_default().push(placed.at_ms);
        }
    }
    free.values_mut().for_each(|times| times.sort_unstable());
    let refused = requests.iter().filter(|request| request.fate == request::Fate::Refused);
    let wait = |request: &&report::Request| {
        let times = free.get(&request.rank)?;
        let next = times.partition_point(|time| *time < request.ended_ms);
        Some(times.get(next)? - request.ended_ms)
    };
    refused.filter_map(wait).collect()
}

fn returned(requests: &[&report::Request]) -> u64 {
    let mut tally = report::Tally::default();
    let back = requests.iter().filter(|request| request.returning);
    back.for_each(|request| tally.count(request));
    ((tally.in_time + tally.late) * 100).checked_div(tally.offered).unwrap_or(0) as u64
}
