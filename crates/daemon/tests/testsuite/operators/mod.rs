//! The operators' HTTP face, over one configuration service and a key-value stand-in.

mod bad_input;
mod calls;
