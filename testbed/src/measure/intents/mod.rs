//! What records cost, against the rate of requests, the batch window and the number of buckets.

mod cluster;
mod load;
mod owner;
mod sizes;
mod window;

pub use owner::owner;
pub use sizes::sizes;
pub use window::window;
