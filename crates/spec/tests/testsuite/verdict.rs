//! Helpers that check the report of an exploration.

use std::{fmt, time};

use trefoildyke_spec::explore::Report;

/// Returns the number of states reached; panics with the trace if one of them violates an invariant.
pub(crate) fn holds<B: fmt::Debug>(bounds: &B, explore: impl Fn(&B) -> Report) -> usize {
    let start = time::Instant::now();
    let report = explore(bounds);
    if let Some(broken) = &report.broken {
        panic!("{broken}\nafter {} states", report.states);
    }
    println!("{} states in {:?} {bounds:?}", report.states, start.elapsed());
    report.states
}

/// Returns the shortest trace to a violated invariant; panics if there is none.
pub(crate) fn counterexample(report: Report) -> String {
    report.broken.expect("the model holds without the guard").to_string()
}
