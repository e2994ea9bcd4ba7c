//! The queue of waiting requests, with the orders in which they are served and shed.

mod account_queue;
mod tier_queue;
mod waiting;
mod waiting_queue;

pub(super) use waiting::Waiting;
pub(super) use waiting_queue::Queue;
