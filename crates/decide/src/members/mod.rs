//! Cluster membership: which daemons there are, and which of them takes a soft role.

mod digest;
mod entry;
mod exchange;
mod failure;
mod input;
mod location;
mod member;
mod membership;
mod merge;
mod number;
mod output;
mod params;
mod probes;
mod random;
mod rumors;
mod state;
mod subtree;
mod table;
mod target;
mod tree;
mod update;
mod versions;
mod view;

pub use digest::Digest;
pub use input::Input;
pub use location::Location;
pub use member::Member;
pub use membership::Membership;
pub use output::Output;
pub use params::Params;
pub use state::State;
pub use subtree::Subtree;
pub use target::Target;
pub use update::Update;
pub use versions::Versions;
pub use view::View;
