//! The model of requests.

mod guards;
mod holds;
mod reach;
mod walks;
