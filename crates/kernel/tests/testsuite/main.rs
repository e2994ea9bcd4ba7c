//! Tests of the kernel, one module a feature.

mod count;
mod kernel;
mod registry;
mod scope;
