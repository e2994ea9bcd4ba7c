//! What the model of configuration versions includes.

/// Switches single guards off, to show that the model needs them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// A daemon adopts only what is newer than what it has.
    pub rises: bool,
    /// A write whose answer was lost is settled by its nonce before it is sent again.
    pub nonce: bool,
    /// A write compares the root's revision.
    pub compare: bool,
}

impl Guards {
    /// Has every guard on.
    pub const ALL: Self = Self { rises: true, nonce: true, compare: true };
}

/// States the size of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The number of daemons.
    pub daemons: usize,
    /// The number of operators; each sends one change to any daemon.
    pub operators: usize,
    /// The most restarts of daemons, which then hold nothing.
    pub restarts: u8,
    /// The most writes whose answers are lost.
    pub losses: u8,
    /// Whether the service may once come back without the configuration.
    pub forgets: bool,
    /// The guards.
    pub guards: Guards,
}

impl Bounds {
    /// Creates bounds with every guard.
    pub const fn new(daemons: usize, operators: usize) -> Self {
        let guards = Guards::ALL;
        Self { daemons, operators, restarts: 1, losses: 1, forgets: false, guards }
    }
}
