//! Tests of the kernel, one module per feature.

mod counter;
mod kernel;
mod registry;
mod scope;
