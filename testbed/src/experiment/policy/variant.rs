//! The variants that an experiment compares.

use std::{fmt, str};

use trefoildyke_types::{error, time::Timestamp};

use crate::experiment::policy;

/// Names a policy and its setting.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Variant {
    /// The project's scheduler, one for the pool.
    Trefoildyke,
    /// A random endpoint, engines queue without bound.
    Random,
    /// A random endpoint, engines refuse when their queue is full.
    RandomBounded,
    /// Each host goes round the endpoints, engines queue without bound.
    RoundRobin,
    /// Each host goes round the endpoints, engines refuse when their queue is full.
    RoundRobinBounded,
    /// The least loaded by stale report, engines queue without bound.
    LeastLoaded,
    /// The least loaded by stale report, engines refuse when their queue is full.
    LeastLoadedBounded,
    /// The better of two by stale report, engines queue without bound.
    TwoChoices,
    /// The better of two by stale report, engines refuse when their queue is full.
    TwoChoicesBounded,
    /// One queue for all, first come first served, without tiers.
    Central,
    /// The project's scheduler on every host, each alone.
    Alone,
}

/// How many requests wait in an engine, over its slots, before a bounded one refuses.
const BOUND: f64 = 0.5;

impl Variant {
    /// Every variant, the project's own first.
    pub const ALL: [Self; 11] = [
        Self::Trefoildyke,
        Self::Random,
        Self::RandomBounded,
        Self::RoundRobin,
        Self::RoundRobinBounded,
        Self::LeastLoaded,
        Self::LeastLoadedBounded,
        Self::TwoChoices,
        Self::TwoChoicesBounded,
        Self::Central,
        Self::Alone,
    ];

    /// Returns the name as tables and options write it.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Trefoildyke => "trefoildyke",
            Self::Random => "random",
            Self::RandomBounded => "random-bounded",
            Self::RoundRobin => "round-robin",
            Self::RoundRobinBounded => "round-robin-bounded",
            Self::LeastLoaded => "least-loaded",
            Self::LeastLoadedBounded => "least-loaded-bounded",
            Self::TwoChoices => "two-choices",
            Self::TwoChoicesBounded => "two-choices-bounded",
            Self::Central => "central",
            Self::Alone => "alone",
        }
    }

    /// Says whether the variant is a baseline.
    pub fn is_baseline(self) -> bool {
        self != Self::Trefoildyke
    }

    /// Returns how many requests may wait in an engine with `slots` before it refuses.
    pub fn engine_queue(self, slots: u32) -> Option<u32> {
        match self {
            Self::RandomBounded
            | Self::RoundRobinBounded
            | Self::LeastLoadedBounded
            | Self::TwoChoicesBounded => Some((f64::from(slots) * BOUND).ceil() as u32),
            _ => None,
        }
    }

    /// Creates the policy for a pool; `seed` decides its random choices.
    pub fn create(self, fleet: &policy::Fleet, seed: u64) -> Policy {
        let direct = |choice| Policy::Direct(Box::new(policy::Direct::new(choice, fleet, seed)));
        match self {
            Self::Trefoildyke => {
                Policy::Scheduler(Box::new(policy::Scheduler::new(fleet, 0, true)))
            }
            Self::Random | Self::RandomBounded => direct(policy::Choice::Random),
            Self::RoundRobin | Self::RoundRobinBounded => direct(policy::Choice::RoundRobin),
            Self::LeastLoaded | Self::LeastLoadedBounded => direct(policy::Choice::LeastLoaded),
            Self::TwoChoices | Self::TwoChoicesBounded => direct(policy::Choice::TwoChoices),
            Self::Central => Policy::Central(policy::Central::new(fleet)),
            Self::Alone => {
                let hosts = 0..fleet.hosts;
                let alone = hosts.map(|host| policy::Scheduler::new(fleet, host, false));
                Policy::Alone(alone.collect())
            }
        }
    }
}

impl fmt::Display for Variant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl str::FromStr for Variant {
    type Err = error::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL.into_iter().find(|variant| variant.as_str() == text).ok_or_else(|| {
            let names = Self::ALL.map(Self::as_str).join(", ");
            let message = format!("`{text}` is not a policy");
            error::Error::new(error::ErrorKind::Invalid, message).remedy(format!("use {names}"))
        })
    }
}

/// Holds the state of a policy.
#[derive(Clone, Debug)]
pub enum Policy {
    /// The project's scheduler for the whole pool.
    Scheduler(Box<policy::Scheduler>),
    /// A baseline that places at once.
    Direct(Box<policy::Direct>),
    /// The baseline with one queue.
    Central(policy::Central),
    /// The project's scheduler on every host, by position; none knows of the others.
    Alone(Vec<policy::Scheduler>),
}

impl Policy {
    /// Takes in one event and adds what is to be done to `actions`.
    pub fn step(
        &mut self,
        now: Timestamp,
        input: policy::Input<'_>,
        actions: &mut Vec<policy::Action>,
    ) {
        match self {
            Self::Scheduler(scheduler) => scheduler.step(now, input, actions),
            Self::Direct(direct) => direct.step(input, actions),
            Self::Central(central) => central.step(input, actions),
            Self::Alone(hosts) => step_alone(hosts, now, input, actions),
        }
    }

    /// Returns the messages so far.
    pub fn traffic(&self) -> policy::Traffic {
        match self {
            Self::Scheduler(scheduler) => scheduler.traffic(),
            Self::Direct(direct) => direct.traffic(),
            Self::Central(central) => central.traffic(),
            Self::Alone(hosts) => {
                let none = policy::Traffic::default();
                hosts.iter().fold(none, |sum, host| sum.plus(host.traffic()))
            }
        }
    }
}

fn step_alone(
    hosts: &mut [policy::Scheduler],
    now: Timestamp,
    input: policy::Input<'_>,
    actions: &mut Vec<policy::Action>,
) {
    match input {
        policy::Input::Arrive(arrival)
        | policy::Input::GiveUp(arrival)
        | policy::Input::FirstToken(arrival)
        | policy::Input::Progress(arrival, _)
        | policy::Input::Ended(arrival, _) => {
            hosts[usize::from(arrival.host)].step(now, input, actions);
        }
        policy::Input::Tick(host) => hosts[usize::from(host)].step(now, input, actions),
        // Every host schedules, so there is no single scheduler to lose.
        policy::Input::SchedulerLost | policy::Input::SchedulerReplaced => {}
        _ => hosts.iter_mut().for_each(|host| host.step(now, input, actions)),
    }
}
