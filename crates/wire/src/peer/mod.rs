//! Calls between daemons: tarpc with MessagePack over an upgraded HTTP/1.1 connection.
//!
//! A connection starts with `GET /peer` and `Upgrade: trefoildyke-peer`. Both sides prove that
//! they hold the shared key before a call is sent or served. While a call is in flight,
//! each side sends a heartbeat when it has nothing else to send, and a side that hears nothing for
//! [`Limits::silence`] gives the connection up; without a call the same goes on at a slower pace.
//!
//! The connection is authenticated but not encrypted: the key keeps strangers out, and the network
//! between the hosts is trusted not to alter what passes.

mod activity;
mod clock;
mod connect;
mod error;
mod handshake;
mod headers;
mod keys;
mod limits;
mod message;
mod methods;
mod pump;
mod serve;
mod service;

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
pub use service::{Peer, PeerClient, PeerRequest, PeerResponse, within};
