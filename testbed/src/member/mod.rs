//! The membership and the connections of a daemon, over real sockets and without the rest.

mod node;
mod start;

pub use node::Node;
pub use start::Start;
