//! The statistics of a report.

use std::collections;

use crate::report::{self, request};

/// All statistics of a report.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Statistics {
    /// Requests by second since the first one.
    pub seconds: Vec<Group>,
    /// Requests by rank, the most urgent first.
    pub ranks: Vec<Group>,
    /// Requests by route and fifth of the expected size, the smallest first.
    pub sizes: Vec<Group>,
    /// Requests by the speed of their endpoint, in thirds of the endpoints, the fastest first.
    pub speeds: Vec<Group>,
    /// How much later than predicted first events came, in milliseconds; 0 for those that were not late.
    pub first_late: report::Quantiles,
    /// How much sooner than predicted first events came, in milliseconds; 0 for those that were not early.
    pub first_soon: report::Quantiles,
    /// Events per expected token of an answer, in hundredths of the median ratio.
    pub length: report::Quantiles,
    /// How long requests waited in the queue before they were sent, in milliseconds.
    pub waited: report::Quantiles,
    /// The retry delay sent to callers, in milliseconds.
    pub told: report::Quantiles,
    /// The time from a refusal until a request of the same rank was sent without queueing, in milliseconds.
    pub free: report::Quantiles,
    /// The share of retried requests that were served, in hundredths.
    pub returned: u64,
}

/// A group of requests that share a property.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Group {
    /// The shared property.
    pub name: String,
    /// The results of the requests.
    pub tally: report::Tally,
}

/// The longest wait that counts as no queueing, in milliseconds: the round trip to the daemon that schedules.
const NO_QUEUE_MS: u64 = 20;

/// The number of groups that sizes are divided into.
const SIZE_GROUPS: usize = 5;

/// Returns the statistics of requests that are sorted by arrival.
///
/// Requests without a known rank were refused before scheduling; they are counted by second only.
pub fn statistics(requests: &[report::Request]) -> Statistics {
    let ranked: Vec<_> = requests.iter().filter(|request| request.rank.is_some()).collect();
    let start_ms = requests.first().map_or(0, |request| request.arrived_ms);
    let second = |request: &report::Request| (request.arrived_ms - start_ms) / 1_000;
    let rank = |request: &&report::Request| request.rank.unwrap_or(u8::MAX);
    let placements = || ranked.iter().filter_map(|request| request.placement);
    let errors: Vec<_> = placements()
        .filter_map(|placement| Some((placement.predicted_ms, placement.observed_ms?)))
        .collect();
    Statistics {
        seconds: groups(requests.iter(), second, |second| format!("{second}")),
        ranks: groups(ranked.iter().copied(), |request| rank(&request), |rank| format!("{rank}")),
        sizes: sizes(&ranked),
        speeds: speeds(&ranked),
        first_late: report::Quantiles::of(errors.iter().map(|(p, o)| o.saturating_sub(*p))),
        first_soon: report::Quantiles::of(errors.iter().map(|(p, o)| p.saturating_sub(*o))),
        length: report::Quantiles::of(lengths(&ranked)),
        waited: report::Quantiles::of(placements().map(|placement| placement.waited_ms)),
        told: report::Quantiles::of(ranked.iter().filter_map(|request| request.retry_ms)),
        free: report::Quantiles::of(waits_for_capacity(&ranked)),
        returned: served_retries(&ranked),
    }
}

/// Counts requests by `key`, in the order of the keys.
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

/// Divides the requests of each route into groups of equal count by size.
fn sizes(requests: &[&report::Request]) -> Vec<Group> {
    let mut routes: collections::BTreeMap<&str, Vec<&report::Request>> =
        collections::BTreeMap::new();
    for request in requests.iter().filter(|request| request.size > 0) {
        routes.entry(&request.route).or_default().push(request);
    }
    let mut all = Vec::new();
    for (route, mut requests) in routes {
        requests.sort_by_key(|request| request.size);
        let mut parts = vec![report::Tally::default(); SIZE_GROUPS];
        for (index, request) in requests.iter().enumerate() {
            parts[index * SIZE_GROUPS / requests.len()].count(request);
        }
        for (part, tally) in parts.into_iter().enumerate() {
            all.push(Group { name: format!("{route} {}/{SIZE_GROUPS}", part + 1), tally });
        }
    }
    all
}

/// Groups requests by the speed of their endpoint: endpoints are divided into thirds by the median time per
/// event of their answers.
fn speeds(requests: &[&report::Request]) -> Vec<Group> {
    let mut event_times: collections::BTreeMap<&str, Vec<u64>> = collections::BTreeMap::new();
    for request in requests.iter().filter(|request| request.expected > 0 && request.events > 1) {
        if let Some(endpoint) = &request.endpoint {
            let event_us = request.answer_ms * 1_000 / u64::from(request.events);
            event_times.entry(endpoint).or_default().push(event_us);
        }
    }
    let median = |(endpoint, event_times): (&'_ str, Vec<u64>)| {
        (report::Quantiles::of(event_times).p50, endpoint.to_owned())
    };
    let mut order: Vec<_> = event_times.into_iter().map(median).collect();
    order.sort();
    let group_size = order.len().div_ceil(3).max(1);
    let third_of = |request: &report::Request| {
        let endpoint = request.endpoint.as_ref()?;
        order.iter().position(|(_, other)| other == endpoint).map(|index| index / group_size)
    };
    let served = requests.iter().copied().filter(|request| third_of(request).is_some());
    let names = ["fastest third", "middle third", "slowest third"];
    groups(served, third_of, |part| names[part.unwrap_or_default().min(2)].to_owned())
}

/// Returns the events per expected token of each answer, in hundredths of the median ratio.
fn lengths(requests: &[&report::Request]) -> Vec<u64> {
    let is_whole = |request: &&&report::Request| {
        let is_served = matches!(request.status, request::Status::InTime | request::Status::Late);
        is_served && request.expected > 0 && request.events > 0
    };
    let ratio = |request: &&report::Request| {
        u64::from(request.events) * 1_000_000 / u64::from(request.expected)
    };
    let ratios: Vec<_> = requests.iter().filter(is_whole).map(ratio).collect();
    let median = report::Quantiles::of(ratios.iter().copied()).p50.max(1);
    ratios.into_iter().map(|ratio| ratio * 100 / median).collect()
}

/// Returns for each refusal the time until a request of the same rank was sent without queueing, in
/// milliseconds.
fn waits_for_capacity(requests: &[&report::Request]) -> Vec<u64> {
    let mut free: collections::BTreeMap<Option<u8>, Vec<u64>> = collections::BTreeMap::new();
    for request in requests {
        if let Some(placement) =
            request.placement.filter(|placement| placement.waited_ms <= NO_QUEUE_MS)
        {
            free.entry(request.rank).or_default().push(placement.at_ms);
        }
    }
    free.values_mut().for_each(|times| times.sort_unstable());
    let refused = requests.iter().filter(|request| request.status == request::Status::Refused);
    let wait = |request: &&report::Request| {
        let times = free.get(&request.rank)?;
        let next = times.partition_point(|time| *time < request.ended_ms);
        Some(times.get(next)? - request.ended_ms)
    };
    refused.filter_map(wait).collect()
}

/// Returns the share of retried requests that were served, in hundredths.
fn served_retries(requests: &[&report::Request]) -> u64 {
    let mut tally = report::Tally::default();
    let retries = requests.iter().filter(|request| request.returning);
    retries.for_each(|request| tally.count(request));
    ((tally.in_time + tally.late) * 100).checked_div(tally.offered).unwrap_or(0) as u64
}
