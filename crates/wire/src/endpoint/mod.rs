//! Clients for endpoints: model engines and plain services.
//!
//! A message that starts work is sent at most once, on its own connection, and is never retried.
//! Errors say whether anything was sent, because work can only have started if something was.

mod answer_stream;
mod engine_client;
mod fault;
mod limits;
pub mod message;
mod order_call;
mod order_error;
mod service_client;
mod start_error;
mod stream_error;

pub use answer_stream::AnswerStream;
pub use engine_client::EngineClient;
pub use fault::Fault;
pub use limits::Limits;
pub use order_error::OrderError;
pub use service_client::ServiceClient;
pub use start_error::StartError;
pub use stream_error::StreamError;
