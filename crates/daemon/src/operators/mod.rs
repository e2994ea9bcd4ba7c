//! The operators' HTTP face.
//!
//! Every daemon serves it. A change is answered once the key-value service has confirmed it; from
//! then on status tells how far it has come.

mod face;
mod query;
mod reply;
mod routes;
mod settings;
mod status;
mod tokens;

pub use face::{Events, Face, Identity};
pub use settings::Settings;
pub use status::Progress;
pub use tokens::Tokens;
