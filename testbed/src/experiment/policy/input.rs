//! What a policy is told.

use trefoildyke_types::engine;

use crate::experiment::arrivals;

/// Tells a policy of one event. Endpoints are named by position.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// A request reached its entry host.
    Arrive(&'a arrivals::Arrival),
    /// The caller of a request that was not placed stopped waiting.
    GiveUp(&'a arrivals::Arrival),
    /// The answer of a placed request has begun.
    FirstToken(&'a arrivals::Arrival),
    /// The answer of a placed request has grown to so many tokens.
    Progress(&'a arrivals::Arrival, u32),
    /// A placed request left its endpoint.
    Ended(&'a arrivals::Arrival, Ending),
    /// A load report came, as late as the scenario says.
    Load(usize, engine::LoadReport),
    /// Cache events came, late and with gaps.
    Cache(usize, &'a [engine::CacheEvent]),
    /// The platform's list shows the endpoint as leaving.
    Leaving(usize),
    /// The loss of the endpoint was noticed.
    Gone(usize),
    /// The process that schedules is lost, with all that it knew.
    SchedulerLost,
    /// The coordinators have noticed the loss and ask the next scheduler.
    SchedulerReplaced,
    /// The time of a wake-up that this host asked for has come.
    Tick(u16),
}

/// Says how a placed request left its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The answer of so many tokens is whole.
    Whole(u32),
    /// The caller stopped waiting after so many tokens.
    Cancelled(u32),
    /// The endpoint was lost.
    Lost,
}
