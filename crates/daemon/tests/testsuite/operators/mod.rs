//! The HTTP interface for operators, with one configuration service and a simulated key-value service.

mod bad_input;
mod calls;
