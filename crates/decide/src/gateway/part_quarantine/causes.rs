//! Finds the parts that crash endpoints among those that were only there when endpoints crashed.

use std::{cmp, collections};

use crate::gateway::{
    self,
    part_quarantine::{
        PartQuarantineParams,
        moment::Moment,
        record::{CrashKey, CrashRecord, EndpointStart},
    },
};

/// The crashes of requests that hold one part.
pub(super) type PartCrashes<'a> = Vec<(&'a CrashKey, &'a CrashRecord)>;

/// Parts that crash endpoints, and the crashes that show it.
pub(super) struct Cause<'a> {
    pub(super) parts: collections::BTreeSet<gateway::PartKey>,
    pub(super) crashes: PartCrashes<'a>,
    /// The time of the first crash.
    pub(super) first: Moment,
}

/// Returns the crashes by suspected part, the part with the most crashed endpoints first.
pub(super) fn by_part<'a>(
    records: impl Iterator<Item = (&'a CrashKey, &'a CrashRecord)>,
) -> Vec<(gateway::PartKey, PartCrashes<'a>)> {
    let mut by_part = collections::BTreeMap::<_, PartCrashes<'a>>::new();
    for (key, record) in records {
        for part in record.suspects() {
            by_part.entry(part).or_default().push((key, record));
        }
    }
    let mut sorted: Vec<_> = by_part.into_iter().collect();
    sorted.sort_by_key(|(_, crashes)| cmp::Reverse(start_count(crashes)));
    sorted
}

/// Returns the number of endpoints that crashed.
pub(super) fn start_count(crashes: &PartCrashes<'_>) -> usize {
    crashes.iter().map(|((start, _), _)| start).collect::<collections::BTreeSet<_>>().len()
}

/// Returns the parts that crash endpoints.
///
/// A crash interrupts all requests that run at the endpoint, so most parts that are there when
/// endpoints crash are harmless. They are told apart in four ways. A part is suspected only until an
/// endpoint answers a later request with it. That none does so means something only while endpoints
/// answer other requests of the service, as `are_answered_since` tells for a service and a time. A
/// crash does not count for a part if another part, with more crashes, explains it. And if the
/// requests have several suspected parts in common, only requests with all of them are quarantined.
pub(super) fn find_causes<'a>(
    now: Moment,
    params: &PartQuarantineParams,
    records: impl Iterator<Item = (&'a CrashKey, &'a CrashRecord)>,
    are_answered_since: impl Fn(gateway::PartKey, Moment) -> bool,
) -> Vec<Cause<'a>> {
    let mut explained = collections::BTreeSet::<&EndpointStart>::new();
    let mut causes = Vec::new();
    for (_, mut crashes) in by_part(records) {
        crashes.retain(|((start, _), _)| !explained.contains(start));
        if start_count(&crashes) < params.min_crashes {
            continue;
        }
        let Some(first) = first_of_series(params, &crashes) else { continue };
        let is_answered =
            first.service().is_some_and(|service| are_answered_since(service, first.crashed_at));
        if first.age(now) < params.evidence_time || !is_answered {
            continue;
        }
        explained.extend(crashes.iter().map(|((start, _), _)| start));
        causes.push(Cause { parts: common_parts(&crashes), first: first.crashed_at, crashes });
    }
    causes
}

/// Returns the suspected parts that all requests have in common.
fn common_parts(crashes: &PartCrashes<'_>) -> collections::BTreeSet<gateway::PartKey> {
    let mut suspects = crashes.iter().map(|(_, record)| record.suspects().collect());
    let first: collections::BTreeSet<_> = suspects.next().unwrap_or_default();
    suspects.fold(first, |common, suspects| &common & &suspects)
}

/// Returns the first crash if enough endpoints crashed one after the other, under different requests.
///
/// Each of these requests was sent after the crash before. Endpoints that crash together for
/// another reason interrupt many requests with the same parts, but only once.
fn first_of_series<'a>(
    params: &PartQuarantineParams,
    crashes: &PartCrashes<'a>,
) -> Option<&'a CrashRecord> {
    let mut ordered: Vec<_> = crashes.iter().collect();
    ordered.sort_by_key(|(_, record)| record.crashed_at);
    let (_, first) = **ordered.first()?;
    let mut requests = collections::BTreeSet::new();
    let mut last = None;
    for ((_, request), record) in &ordered {
        if last.is_none_or(|last| record.sent_at > last) && requests.insert(*request) {
            last = Some(record.crashed_at);
        }
    }
    (requests.len() >= params.min_crashes).then_some(first)
}
