//! Tests that records are created at most once by concurrent commits of several daemons under faults.

mod coverage;
mod fixture;
mod interleavings;
mod one_commit;
mod retention;
mod simulation;
mod values;
