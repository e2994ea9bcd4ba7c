//! Tests of the stand-ins and of the engine model.

#![allow(clippy::unwrap_used, reason = "a test that cannot go on fails")]

mod model;
