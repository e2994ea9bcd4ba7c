//! Records created at most once: commits by several daemons at once, under faults.

mod coverage;
mod fixture;
mod interleavings;
mod one_commit;
mod retention;
mod simulation;
mod values;
