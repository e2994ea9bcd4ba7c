//! Request and answer bodies of the calls to endpoints.

mod cache_page;
mod generate;
mod order;
mod order_done;
mod service_reply;
mod stale_fence;

pub use cache_page::CachePage;
pub use generate::Generate;
pub use order::Order;
pub use order_done::{OrderDone, OrderResult};
pub use service_reply::ServiceReply;
pub use stale_fence::StaleFence;
