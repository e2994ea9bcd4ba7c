//! The bounds of the model of configuration versions.

/// The guards, each of which can be disabled to show that the model needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// A daemon adopts only a snapshot newer than its own.
    pub rises: bool,
    /// The outcome of a write whose answer was lost is determined by its nonce before it is sent again.
    pub nonce: bool,
    /// A write takes effect only if the root still has the revision that was read.
    pub compare: bool,
}

impl Guards {
    /// Enables every guard.
    pub const ALL: Self = Self { rises: true, nonce: true, compare: true };
}

/// The size of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The number of daemons.
    pub daemons: usize,
    /// The number of operators; each sends one change to any daemon.
    pub operators: usize,
    /// The most restarts of daemons; a restarted daemon holds no snapshot.
    pub restarts: u8,
    /// The most writes whose answers are lost.
    pub losses: u8,
    /// Whether the service may lose the whole configuration once.
    pub forgets: bool,
    /// The guards.
    pub guards: Guards,
}

impl Bounds {
    /// Creates bounds with every guard enabled.
    pub const fn new(daemons: usize, operators: usize) -> Self {
        let guards = Guards::ALL;
        Self { daemons, operators, restarts: 1, losses: 1, forgets: false, guards }
    }
}
