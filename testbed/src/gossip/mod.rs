//! Many memberships in one process that exchange digests in virtual time.
//!
//! Only what passes between [`trefoildyke_decide::members::Membership`] values is played: no
//! sockets, no latency below a step, no requests.

mod broken;
mod group;
mod link;
mod node;
mod traffic;

pub use broken::Broken;
pub use group::Group;
pub use link::Link;
pub use node::{Node, location};
pub use traffic::Traffic;
