//! Bodies of the operator API.

mod accepted;
mod event_page;
mod overview;
mod resource_page;
mod watched;

pub use accepted::Accepted;
pub use event_page::EventPage;
pub use overview::Overview;
pub use resource_page::ResourcePage;
pub use watched::Watched;
