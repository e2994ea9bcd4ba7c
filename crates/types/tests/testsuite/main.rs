//! Tests of the shared domain types.

mod request_id;
