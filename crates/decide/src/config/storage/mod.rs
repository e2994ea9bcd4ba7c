//! The layout of the configuration in the key-value service.
//!
//! One key, [`ROOT_KEY`], holds a [`Root`]: the version, the keys of the chunks that hold all
//! resources as of some version, and the changes since then. A change is one compare-and-swap of
//! the root, so the root's versions order all changes. When the root would grow too large, the
//! change folds everything into new chunks, which are written before the root that names them and
//! never change afterwards.

mod change;
mod chunk;
mod history;
mod plan;
mod root;

pub use change::Change;
pub use chunk::{Chunk, obsolete};
pub use history::{Answer, History};
pub use plan::{Plan, plan, restore};
pub use root::{Outcome, Root};

/// The key that holds the root.
pub const ROOT_KEY: &str = "config/root";

/// The prefix of the keys that hold chunks.
pub const CHUNK_PREFIX: &str = "config/chunk/";

/// The size in bytes above which a root is folded into chunks.
pub const ROOT_BYTES: usize = 96 * 1024;

/// The size in bytes that a chunk does not exceed by more than one resource.
pub const CHUNK_BYTES: usize = 256 * 1024;

/// How many of the last changes' nonces the root keeps, for writers that lost an answer.
pub const NONCES: usize = 512;
