//! HTTP clients and servers on top of `hyper`, shared by the rest of the crate.
//!
//! - [`Client`] sends requests with a deadline on every call and replaces its connections when a
//!   call exceeds it.
//! - [`Server`] accepts connections within limits and joins the task of each connection.
//! - [`EventSender`] and [`EventReader`] write and read server-sent events.

mod body;
mod call_error;
mod client;
mod client_limits;
mod event;
mod event_reader;
mod event_sender;
mod executor;
mod fetch_timeouts;
mod reply;
mod server;
mod server_limits;

pub use body::{Aborted, Body, BodySender};
pub use call_error::CallError;
pub use client::Client;
pub use client_limits::ClientLimits;
pub use event::Event;
pub use event_reader::EventReader;
pub use event_sender::EventSender;
pub use fetch_timeouts::FetchTimeouts;
pub use reply::{json, json_request, parse, read_body, read_json};
pub use server::{Call, Server};
pub use server_limits::ServerLimits;
