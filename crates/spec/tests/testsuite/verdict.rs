//! What an exploration found, as a test wants it.

use std::{fmt, time};

use trefoildyke_spec::explore::Report;

/// Returns the number of states reached; fails with the trace if one of them breaks an invariant.
pub(crate) fn holds<B: fmt::Debug>(bounds: &B, explore: impl Fn(&B) -> Report) -> usize {
    let start = time::Instant::now();
    let report = explore(bounds);
    if let Some(broken) = &report.broken {
        panic!("{broken}\nafter {} states", report.states);
    }
    println!("{} states in {:?} {bounds:?}", report.states, start.elapsed());
    report.states
}

/// Returns the shortest trace to a broken invariant; fails if there is none.
pub(crate) fn counterexample(report: Report) -> String {
    report.broken.expect("the model holds without the guard").to_string()
}
