//! What passes through a relay.

use std::{net, time};

/// Names a direction through a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the side that connected to the target.
    Up,
    /// From the target to the side that connected.
    Down,
}

/// Says what passes through a relay; every connection follows it at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flow {
    /// Where new connections go; they are closed at once while there is no target.
    pub target: Option<net::SocketAddr>,
    /// How long each piece of data waits before it is passed on.
    pub delay: time::Duration,
    /// The interval between the times at which data is passed on, if it is held up; `None` if it is not.
    pub hold: Option<time::Duration>,
    /// How many bytes pass per second in each direction, over all connections; `None` for no limit.
    pub rate: Option<u64>,
    /// New connections are closed at once.
    pub refuse: bool,
    /// Connections with a number below this are closed.
    pub(crate) cut_below: u64,
    /// Connections with a number below this pass nothing up.
    pub(crate) up_silent_below: u64,
    /// Connections with a number below this pass nothing down.
    pub(crate) down_silent_below: u64,
}

impl Flow {
    /// Returns whether the connection `number` passes nothing in `direction`.
    pub(crate) const fn is_silent(&self, number: u64, direction: Direction) -> bool {
        match direction {
            Direction::Up => number < self.up_silent_below,
            Direction::Down => number < self.down_silent_below,
        }
    }
}
