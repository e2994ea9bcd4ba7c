//! The HTTP API for operators.
//!
//! Every daemon serves the API. A change is answered once the key-value service has confirmed it. The
//! status of a resource then reports how far the daemons have adopted it.

mod api;
mod query;
mod reply;
mod routes;
mod settings;
mod status;
mod tokens;

pub use api::{Api, Events, Identity};
pub use settings::Settings;
pub use status::Progress;
pub use tokens::Tokens;
