//! The layout of the configuration in the key-value service.
//!
//! One key, [`ROOT_KEY`], holds a [`Root`]: the version, the keys of the chunks that contain all
//! resources as of some version, and the changes since that version. A change is one compare-and-swap of
//! the root, so the versions of the root define the order of all changes. When the root would become too
//! large, the change compacts all resources into new chunks. These are written before the root that
//! refers to them and never change afterwards.

mod change;
mod chunk;
mod history;
mod plan;
mod root;

pub use change::Change;
pub use chunk::{Chunk, is_obsolete_chunk};
pub use history::{Answer, History};
pub use plan::{Plan, plan, restore};
pub use root::{Outcome, Root};

/// The key that holds the root.
pub const ROOT_KEY: &str = "config/root";

/// The prefix of the keys of chunks.
pub const CHUNK_PREFIX: &str = "config/chunk/";

/// The size in bytes above which a root is compacted into chunks.
pub const ROOT_BYTES: usize = 96 * 1024;

/// The size limit of a chunk in bytes, which a chunk exceeds by at most one resource.
pub const CHUNK_BYTES: usize = 256 * 1024;

/// The number of latest changes whose nonces the root keeps, for writers that did not get an answer.
pub const NONCES: usize = 512;
