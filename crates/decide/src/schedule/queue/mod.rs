//! The waiting requests, in the order in which they are served and in that in which they are shed.

mod account_queue;
mod tier_queue;
mod waiting;
mod waiting_queue;

pub(super) use waiting::Waiting;
pub(super) use waiting_queue::Queue;
