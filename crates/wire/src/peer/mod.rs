//! Calls between daemons: tarpc with MessagePack over an upgraded HTTP/1.1 connection.
//!
//! A connection starts with `GET /peer` and `Upgrade: trefoildyke-peer`. Both sides prove that they
//! hold the shared key before a call is sent or served. While a call is in flight, each side sends a
//! heartbeat when it has sent nothing for [`Limits::heartbeat`], and closes the connection when it
//! has received nothing for [`Limits::silence`]. Without a call in flight, the longer times
//! [`Limits::idle_heartbeat`] and [`Limits::idle_silence`] apply.
//!
//! The connection is authenticated but neither encrypted nor protected against changes: the key
//! keeps unknown clients out, and the network between the hosts is trusted not to alter messages.

mod activity;
mod calls;
mod clock;
mod connect;
mod error;
mod frame_io;
mod handshake;
mod headers;
mod keys;
mod limits;
mod message;
mod methods;
mod serve;
mod service;

pub use calls::{Calls, PeerClient};
pub use clock::Clock;
pub use connect::{Connection, connect};
pub use error::Error;
pub use handshake::{PROTOCOL, Proof, Role, Transcript};
pub use keys::Keys;
pub use limits::Limits;
pub use message::{
    AskRequest, Changes, ChangesRequest, CommitOutcome, CommitRequest, Payload, ReadAnswer,
    ReadRequest, ReportRequest,
};
pub use methods::{Caller, Method, Methods};
pub use serve::{Identity, serve};
pub use service::{Peer, PeerRequest, PeerResponse, within};
