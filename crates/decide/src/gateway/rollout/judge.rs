//! The comparison of a canary version with the version in force.

use std::{collections, time};

use trefoildyke_types::{id, time::Timestamp};

/// Counts of answers, and of those that were failures or came far too late.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answers {
    /// The number of answers.
    pub count: u32,
    /// The number of bad answers.
    pub bad: u32,
}

/// The result of comparing a canary version with the version in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Comparison {
    /// There are too few answers to decide.
    Open,
    /// The canary version answers as well as the version in force.
    Good,
    /// The canary version answers worse: the evidence is at least that which chance gives once in
    /// ten thousand comparisons.
    Bad {
        /// The logarithm of the likelihood ratio.
        evidence: f64,
    },
}

/// Compares the answers of a canary version with those of the version in force, per route and over
/// the same time.
///
/// This is Wald's sequential probability ratio test: it computes the logarithm of how much likelier
/// the answers are if an additional fraction of them is bad. The fraction of bad answers at the
/// version in force is taken from the same time, since any version has occasional failures, such as
/// failed look-ups, and bursts slow down all versions. A single endpoint may be faulty by itself,
/// so the quarter of the endpoints with the most evidence against them is excluded.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    total: Sample,
    /// The recent answers in time slices, oldest first.
    slices: collections::VecDeque<(Timestamp, Sample)>,
}

#[derive(Clone, Debug, Default)]
struct Sample {
    /// The answers of the version in force, by route.
    baseline: collections::BTreeMap<u32, Answers>,
    /// The answers of the canary version, by endpoint and route.
    canary: collections::BTreeMap<id::EndpointName, collections::BTreeMap<u32, Answers>>,
}

/// The additional fractions of bad answers that the test looks for.
const EXCESSES: [f64; 3] = [0.04, 0.12, 0.4];

/// The additional fraction of bad answers that must be ruled out before a version is good; about a
/// tenth of the answers.
const RULED_OUT_EXCESS: f64 = 0.12;

/// The evidence from which a version is bad: the logarithm of ten thousand, because the comparison
/// is repeated many times.
const BAD_EVIDENCE: f64 = 9.2;

/// The evidence against an additional fraction of bad answers from which a version is good: the
/// logarithm of 50.
const GOOD_EVIDENCE: f64 = 3.9;

/// The evidence per recent answer against an additional fraction of bad answers that a good version
/// must show; less than half of what a good version typically shows.
const GOOD_PER_ANSWER: f64 = 0.05;

/// The evidence on a single route that prevents a version from being good: the logarithm of three.
const SUSPECT_EVIDENCE: f64 = 1.1;

/// The minimum number of answers of the version in force on a route before the route counts.
const MIN_BASELINE: u32 = 10;

/// The prior for a route at the version in force: one bad answer in this number of answers.
const PRIOR_ANSWERS: f64 = 30.0;

/// How long answers count as recent. Recent answers reveal a version that turns bad after a while.
const RECENT_WINDOW: time::Duration = time::Duration::from_secs(4);

/// The duration of one slice of the recent answers.
const SLICE_LENGTH: time::Duration = time::Duration::from_millis(500);

/// The number of bad answers above the expected number from which the evidence of all endpoints
/// counts, including those that may be faulty by themselves. A bad version must be stopped soon
/// after its fiftieth bad answer of either kind.
const MAX_BAD_EXCESS: f64 = 15.0;

/// The minimum number of endpoints for which those with the most evidence are excluded.
const MIN_ENDPOINTS: usize = 2;

impl Judge {
    /// Adds answers of the version in force.
    pub fn record_baseline(&mut self, now: Timestamp, route: u32, answers: Answers) {
        for sample in self.current_samples(now) {
            sample.baseline.entry(route).or_default().add(answers);
        }
    }

    /// Adds answers of the canary version.
    pub fn record_canary(
        &mut self,
        now: Timestamp,
        endpoint: &id::EndpointName,
        route: u32,
        answers: Answers,
    ) {
        for sample in self.current_samples(now) {
            let routes = sample.canary.entry(endpoint.clone()).or_default();
            routes.entry(route).or_default().add(answers);
        }
    }

    fn current_samples(&mut self, now: Timestamp) -> [&mut Sample; 2] {
        while self.slices.front().is_some_and(|(start, _)| now.since(*start) > RECENT_WINDOW) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|(start, _)| now.since(*start) > SLICE_LENGTH) {
            self.slices.push_back((now, Sample::default()));
        }
        // The code above ensures that there is a slice.
        let last = self.slices.len() - 1;
        [&mut self.total, &mut self.slices[last].1]
    }

    /// Returns the result of the comparison so far.
    pub fn compare(&self, now: Timestamp) -> Comparison {
        let recent = self.recent(now);
        let windows = [&self.total, &recent];
        let max = windows.iter().map(|sample| sample.max_evidence()).fold(f64::MIN, f64::max);
        let overall = EXCESSES.map(|excess| self.total.evidence(excess, None, 0));
        let overall = overall.into_iter().fold(f64::MIN, f64::max);
        let max = if self.total.excess() >= MAX_BAD_EXCESS { max.max(overall) } else { max };
        if max >= BAD_EVIDENCE {
            return Comparison::Bad { evidence: max };
        }
        let is_good = windows.iter().all(|sample| !sample.has_suspect())
            && self.total.evidence(RULED_OUT_EXCESS, None, 0) <= -GOOD_EVIDENCE
            && recent.evidence(RULED_OUT_EXCESS, None, recent.excluded())
                <= -GOOD_PER_ANSWER * recent.count();
        if is_good { Comparison::Good } else { Comparison::Open }
    }

    fn recent(&self, now: Timestamp) -> Sample {
        let mut sum = Sample::default();
        for (_, sample) in
            self.slices.iter().filter(|(start, _)| now.since(*start) <= RECENT_WINDOW)
        {
            sum.add(sample);
        }
        sum
    }

    /// Returns the answers of the version in force and of the canary version.
    pub fn answers(&self) -> (Answers, Answers) {
        let mut sums = (Answers::default(), Answers::default());
        self.total.baseline.values().for_each(|answers| sums.0.add(*answers));
        let canary = self.total.canary.values().flat_map(collections::BTreeMap::values);
        canary.for_each(|answers| sums.1.add(*answers));
        sums
    }
}

impl Answers {
    fn add(&mut self, other: Self) {
        self.count += other.count;
        self.bad += other.bad;
    }
}

impl Sample {
    fn add(&mut self, other: &Self) {
        for (route, answers) in &other.baseline {
            self.baseline.entry(*route).or_default().add(*answers);
        }
        for (endpoint, routes) in &other.canary {
            let known = self.canary.entry(endpoint.clone()).or_default();
            for (route, answers) in routes {
                known.entry(*route).or_default().add(*answers);
            }
        }
    }

    /// Returns the fraction of a route's answers that is bad at the version in force; `None` if
    /// there are too few answers.
    fn baseline_fraction(&self, route: u32) -> Option<f64> {
        let baseline =
            self.baseline.get(&route).filter(|baseline| baseline.count >= MIN_BASELINE)?;
        Some(f64::from(baseline.bad + 1) / (f64::from(baseline.count) + PRIOR_ANSWERS))
    }

    /// Returns the evidence for an additional fraction `excess` of bad answers, on the route `only`
    /// or on all routes, without the `excluded` endpoints that have the most evidence against them.
    fn evidence(&self, excess: f64, only: Option<u32>, excluded: usize) -> f64 {
        let is_selected = |route: u32| only.is_none_or(|only| only == route);
        let of_endpoint = |routes: &collections::BTreeMap<u32, Answers>| -> f64 {
            let selected = routes.iter().filter(|(route, _)| is_selected(**route));
            let known = selected.filter_map(|(route, answers)| {
                Some(answers.evidence(self.baseline_fraction(*route)?, excess))
            });
            known.sum()
        };
        let mut found: Vec<_> = self.canary.values().map(of_endpoint).collect();
        found.sort_by(f64::total_cmp);
        found.truncate(found.len().saturating_sub(excluded));
        found.iter().sum()
    }

    /// Returns the number of bad answers above the number expected of the version in force.
    fn excess(&self) -> f64 {
        let routes = self.canary.values().flatten();
        let of_route = |(route, answers): (&u32, &Answers)| {
            let baseline = self.baseline_fraction(*route)?;
            Some(f64::from(answers.bad) - baseline * f64::from(answers.count))
        };
        routes.filter_map(of_route).sum()
    }

    /// Returns the number of excluded endpoints.
    fn excluded(&self) -> usize {
        let count = self.canary.len();
        if count < MIN_ENDPOINTS { 0 } else { count.div_ceil(4) }
    }

    /// Returns the most evidence against the version, overall and by route.
    fn max_evidence(&self) -> f64 {
        let excluded = self.excluded();
        let overall = EXCESSES.map(|excess| self.evidence(excess, None, excluded));
        let mut max = overall.into_iter().fold(f64::MIN, f64::max);
        // With more routes, chance produces evidence against one of them sooner.
        let correction = (self.baseline.len().max(1) as f64).ln();
        for route in self.baseline.keys() {
            for excess in EXCESSES {
                max = max.max(self.evidence(excess, Some(*route), excluded) - correction);
            }
        }
        max
    }

    /// Returns whether a route has some evidence against the version.
    fn has_suspect(&self) -> bool {
        let excluded = self.excluded();
        let suspect = |route: &u32| {
            let of_excess = |excess| self.evidence(excess, Some(*route), excluded);
            EXCESSES.map(of_excess).into_iter().any(|evidence| evidence > SUSPECT_EVIDENCE)
        };
        self.baseline.keys().any(suspect)
    }

    /// Returns the number of answers of the canary version, scaled by the fraction of endpoints
    /// that are not excluded.
    fn count(&self) -> f64 {
        let of_endpoint = |routes: &collections::BTreeMap<u32, Answers>| {
            routes.values().map(|answers| f64::from(answers.count)).sum::<f64>()
        };
        let counts: Vec<_> = self.canary.values().map(of_endpoint).collect();
        let kept = counts.len().saturating_sub(self.excluded());
        counts.iter().sum::<f64>() * kept as f64 / counts.len().max(1) as f64
    }
}

impl Answers {
    /// Returns the logarithm of how much likelier the answers are if a fraction `excess` of those
    /// that are good at the version in force is bad as well.
    fn evidence(self, baseline: f64, excess: f64) -> f64 {
        let assumed = baseline + excess * (1.0 - baseline);
        let good = self.count.saturating_sub(self.bad);
        f64::from(self.bad) * (assumed / baseline).ln()
            + f64::from(good) * ((1.0 - assumed) / (1.0 - baseline)).ln()
    }
}
