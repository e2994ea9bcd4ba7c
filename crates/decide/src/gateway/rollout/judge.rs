//! Whether a version that is tried answers worse than the one in force.

use std::{collections, time};

use trefoildyke_types::{id, time::Timestamp};

/// Counts answers, and those that were failures or came far too late.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answers {
    /// All answers.
    pub count: u32,
    /// The bad ones.
    pub bad: u32,
}

/// Says what is found of a version that is tried.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Comparison {
    /// Too little was seen.
    Open,
    /// It answers as well as the version in force.
    Good,
    /// It answers worse: some multiple of the evidence that chance gives once in ten thousand comparisons.
    Bad {
        /// The logarithm of the likelihood ratio.
        evidence: f64,
    },
}

/// Compares the answers of a version that is tried with those of the version in force, route by route and at the same time.
///
/// Wald's sequential test: the logarithm of how much likelier the answers are if a further part of them is bad. The part of bad
/// answers at the version in force is taken from the same time, since look-ups fail now and then in any version and bursts slow
/// all. A single endpoint may be ill by itself: those with the most evidence against them, a quarter, are left out.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    total: Seen,
    /// What was seen of late, the oldest first.
    slices: collections::VecDeque<(Timestamp, Seen)>,
}

#[derive(Clone, Debug, Default)]
struct Seen {
    /// Of the version in force, by route.
    usual: collections::BTreeMap<u32, Answers>,
    /// Of the version that is tried, by endpoint and route.
    tried: collections::BTreeMap<id::EndpointName, collections::BTreeMap<u32, Answers>>,
}

/// The further parts of bad answers that are looked for.
const EXCESSES: [f64; 3] = [0.04, 0.12, 0.4];

/// Which of them must be ruled out before a version is good: a tenth of bad answers.
const RULED_OUT: f64 = 0.12;

/// The evidence from which on a version is bad: the logarithm of ten thousand, as it is looked at many times.
const BAD: f64 = 9.2;

/// The evidence against a further part of bad answers from which on a version is good: the logarithm of 50.
const GOOD: f64 = 3.9;

/// The evidence against a further part of bad answers, for each answer of late, that a version must show to be good: less than
/// half of what a good one shows.
const GOOD_EACH: f64 = 0.05;

/// The evidence from which on a single route keeps a version from being good: the logarithm of three.
const SUSPECT: f64 = 1.1;

/// How many answers of a route the version in force must have given before the route counts.
const LEAST_USUAL: u32 = 10;

/// What is assumed of a route at the version in force before anything was seen: one bad answer of so many.
const PRIOR: f64 = 30.0;

/// For how long answers count as of late: a version that turns bad after a while is seen by these.
const LATELY: time::Duration = time::Duration::from_secs(4);

/// How much time one slice of them holds.
const SLICE: time::Duration = time::Duration::from_millis(500);

/// How many bad answers more than usual are borne before endpoints that may be ill by themselves count as well: a bad version must
/// be stopped soon after its fiftieth bad answer, of either kind.
const MOST_BAD: f64 = 15.0;

/// From how many endpoints on those with the most evidence are left out.
const LEAST_ENDPOINTS: usize = 2;

impl Judge {
    /// Takes in answers of the version in force.
    pub fn note_usual(&mut self, now: Timestamp, route: u32, answers: Answers) {
        for seen in self.seen(now) {
            seen.usual.entry(route).or_default().add(answers);
        }
    }

    /// Takes in answers of the version that is tried.
    pub fn note_tried(
        &mut self,
        now: Timestamp,
        endpoint: &id::EndpointName,
        route: u32,
        answers: Answers,
    ) {
        for seen in self.seen(now) {
            let routes = seen.tried.entry(endpoint.clone()).or_default();
            routes.entry(route).or_default().add(answers);
        }
    }

    fn seen(&mut self, now: Timestamp) -> [&mut Seen; 2] {
        while self.slices.front().is_some_and(|(begun, _)| now.since(*begun) > LATELY) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|(begun, _)| now.since(*begun) > SLICE) {
            self.slices.push_back((now, Seen::default()));
        }
        // Just made sure of.
        let last = self.slices.len() - 1;
        [&mut self.total, &mut self.slices[last].1]
    }

    /// Says what is found so far.
    pub fn compare(&self, now: Timestamp) -> Comparison {
        let lately = self.lately(now);
        let windows = [&self.total, &lately];
        let most = windows.iter().map(|seen| seen.most_evidence()).fold(f64::MIN, f64::max);
        let in_sum = EXCESSES.map(|excess| self.total.evidence(excess, None, 0));
        let in_sum = in_sum.into_iter().fold(f64::MIN, f64::max);
        let most = if self.total.excess() >= MOST_BAD { most.max(in_sum) } else { most };
        if most >= BAD {
            return Comparison::Bad { evidence: most };
        }
        let is_cleared = windows.iter().all(|seen| !seen.has_suspect())
            && self.total.evidence(RULED_OUT, None, 0) <= -GOOD
            && lately.evidence(RULED_OUT, None, lately.left_out()) <= -GOOD_EACH * lately.count();
        if is_cleared { Comparison::Good } else { Comparison::Open }
    }

    fn lately(&self, now: Timestamp) -> Seen {
        let mut sum = Seen::default();
        for (_, seen) in self.slices.iter().filter(|(begun, _)| now.since(*begun) <= LATELY) {
            sum.add(seen);
        }
        sum
    }

    /// Returns the answers of the version in force and of the one that is tried.
    pub fn answers(&self) -> (Answers, Answers) {
        let mut sums = (Answers::default(), Answers::default());
        self.total.usual.values().for_each(|answers| sums.0.add(*answers));
        let tried = self.total.tried.values().flat_map(collections::BTreeMap::values);
        tried.for_each(|answers| sums.1.add(*answers));
        sums
    }
}

impl Answers {
    fn add(&mut self, other: Self) {
        self.count += other.count;
        self.bad += other.bad;
    }
}

impl Seen {
    fn add(&mut self, other: &Self) {
        for (route, answers) in &other.usual {
            self.usual.entry(*route).or_default().add(*answers);
        }
        for (endpoint, routes) in &other.tried {
            let known = self.tried.entry(endpoint.clone()).or_default();
            for (route, answers) in routes {
                known.entry(*route).or_default().add(*answers);
            }
        }
    }

    /// Returns the part of a route's answers that is bad at the version in force; `None` if too few were seen.
    fn usual_part(&self, route: u32) -> Option<f64> {
        let usual = self.usual.get(&route).filter(|usual| usual.count >= LEAST_USUAL)?;
        Some(f64::from(usual.bad + 1) / (f64::from(usual.count) + PRIOR))
    }

    /// Returns the evidence that a further part of the answers is bad, of one route or of all, without the endpoints that
    /// speak most for it, `left_out` of them.
    fn evidence(&self, excess: f64, only: Option<u32>, left_out: usize) -> f64 {
        let is_meant = |route: u32| only.is_none_or(|only| only == route);
        let of_endpoint = |routes: &collections::BTreeMap<u32, Answers>| -> f64 {
            let meant = routes.iter().filter(|(route, _)| is_meant(**route));
            let known = meant.filter_map(|(route, answers)| {
                Some(answers.evidence(self.usual_part(*route)?, excess))
            });
            known.sum()
        };
        let mut found: Vec<_> = self.tried.values().map(of_endpoint).collect();
        found.sort_by(f64::total_cmp);
        found.truncate(found.len().saturating_sub(left_out));
        found.iter().sum()
    }

    /// Returns how many more answers are bad than there would be of the version in force.
    fn excess(&self) -> f64 {
        let routes = self.tried.values().flatten();
        let of_route = |(route, answers): (&u32, &Answers)| {
            let usual = self.usual_part(*route)?;
            Some(f64::from(answers.bad) - usual * f64::from(answers.count))
        };
        routes.filter_map(of_route).sum()
    }

    /// Returns how many endpoints are left out.
    fn left_out(&self) -> usize {
        let count = self.tried.len();
        if count < LEAST_ENDPOINTS { 0 } else { count.div_ceil(4) }
    }

    /// Returns the most evidence against the version, in sum and by route.
    fn most_evidence(&self) -> f64 {
        let left_out = self.left_out();
        let in_sum = EXCESSES.map(|excess| self.evidence(excess, None, left_out));
        let mut most = in_sum.into_iter().fold(f64::MIN, f64::max);
        // With many routes chance speaks against one of them sooner.
        let further = (self.usual.len().max(1) as f64).ln();
        for route in self.usual.keys() {
            for excess in EXCESSES {
                most = most.max(self.evidence(excess, Some(*route), left_out) - further);
            }
        }
        most
    }

    /// Says whether there is some evidence against the version on a route.
    fn has_suspect(&self) -> bool {
        let left_out = self.left_out();
        let suspect = |route: &u32| {
            let of_excess = |excess| self.evidence(excess, Some(*route), left_out);
            EXCESSES.map(of_excess).into_iter().any(|evidence| evidence > SUSPECT)
        };
        self.usual.keys().any(suspect)
    }

    /// Returns how many answers the version gave that is tried, without those of endpoints that are left out.
    fn count(&self) -> f64 {
        let of_endpoint = |routes: &collections::BTreeMap<u32, Answers>| {
            routes.values().map(|answers| f64::from(answers.count)).sum::<f64>()
        };
        let counts: Vec<_> = self.tried.values().map(of_endpoint).collect();
        let kept = counts.len().saturating_sub(self.left_out());
        counts.iter().sum::<f64>() * kept as f64 / counts.len().max(1) as f64
    }
}

impl Answers {
    /// Returns the logarithm of how much likelier the answers are if a part `excess` of those that are good at the version
    /// in force is bad as well.
    fn evidence(self, usual: f64, excess: f64) -> f64 {
        let assumed = usual + excess * (1.0 - usual);
        let good = self.count.saturating_sub(self.bad);
        f64::from(self.bad) * (assumed / usual).ln()
            + f64::from(good) * ((1.0 - assumed) / (1.0 - usual)).ln()
    }
}
