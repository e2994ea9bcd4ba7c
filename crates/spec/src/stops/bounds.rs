//! What the model of planned stops includes.

/// Switches single guards off, to show that the model needs them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// A daemon that is cut off for the bound takes no new work and uses no permit.
    pub isolation: bool,
    /// A daemon checks the endpoint when a permit comes.
    pub permit: bool,
    /// A daemon checks the endpoint again right before it dispatches.
    pub dispatch: bool,
    /// The endpoint's own report of its load counts.
    pub load: bool,
    /// The load counts only once the stop is in force on every live daemon.
    pub everywhere: bool,
}

impl Guards {
    /// Has every guard on.
    pub const ALL: Self =
        Self { isolation: true, permit: true, dispatch: true, load: true, everywhere: true };
}

/// States the size of the model.
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
    /// Creates bounds with every guard.
    pub const fn new(daemons: usize) -> Self {
        Self { daemons, deaths: 1, cuts: 1, guards: Guards::ALL }
    }
}
