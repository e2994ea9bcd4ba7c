//! Tests of the membership.

mod view;
