//! The bounds of the model of planned stops.

/// The guards, each of which can be disabled to show that the model needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// A daemon that has been cut off for as long as the bound takes no new work and uses no permit.
    pub isolation: bool,
    /// A daemon checks whether the endpoint takes new work when a permit arrives.
    pub permit: bool,
    /// A daemon checks whether the endpoint takes new work again right before it dispatches.
    pub dispatch: bool,
    /// The load that the endpoint itself reports delays the settling of the stop.
    pub load: bool,
    /// A report of no load counts only once the stop is in force on every live daemon.
    pub everywhere: bool,
}

impl Guards {
    /// Enables every guard.
    pub const ALL: Self =
        Self { isolation: true, permit: true, dispatch: true, load: true, everywhere: true };
}

/// The size of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The number of daemons; the last is the endpoint's scheduler and does not die.
    pub daemons: usize,
    /// The most daemons that die.
    pub deaths: usize,
    /// The most daemons that are cut off.
    pub cuts: usize,
    /// The guards.
    pub guards: Guards,
}

impl Bounds {
    /// Creates bounds with every guard enabled.
    pub const fn new(daemons: usize) -> Self {
        Self { daemons, deaths: 1, cuts: 1, guards: Guards::ALL }
    }
}
