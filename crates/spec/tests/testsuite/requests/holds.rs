//! Tests that the model of requests keeps its invariants within the bounds.

use trefoildyke_spec::requests::{Bounds, Kind, explore};

use crate::verdict;

const ONCE: Kind = Kind::Chosen { idempotent: false };

fn holds(bounds: &Bounds) -> usize {
    verdict::holds(bounds, explore)
}

#[test]
fn two_daemons() {
    holds(&Bounds::new(2, ONCE));
    holds(&Bounds::new(2, Kind::Chosen { idempotent: true }));
    holds(&Bounds::new(2, Kind::Issued));
}

#[test]
fn three_daemons_two_attempts() {
    holds(&Bounds { deaths: 2, ..Bounds::new(3, ONCE) });
    holds(&Bounds { deaths: 2, ..Bounds::new(3, Kind::Issued) });
}

#[test]
fn three_attempts_at_two_daemons() {
    holds(&Bounds { attempts: 3, ..Bounds::new(2, ONCE) });
    holds(&Bounds { attempts: 3, ..Bounds::new(2, Kind::Issued) });
}

#[test]
fn two_schedulers_at_once() {
    let both = |kind| Bounds { spare_permits: 1, connects: 1, ..Bounds::new(2, kind) };
    holds(&both(ONCE));
    holds(&both(Kind::Issued));
}

#[test]
fn ageing() {
    holds(&Bounds { ageing: true, ..Bounds::new(2, ONCE) });
    holds(&Bounds { ageing: true, ..Bounds::new(2, Kind::Issued) });
}

#[test]
fn three_attempts_at_three_daemons() {
    holds(&Bounds { attempts: 3, ..Bounds::new(3, ONCE) });
}
