//! Membership.

mod view;
