//! Limits on what operators may declare.

/// The most resources in one change: twice the accounts of the target size.
pub(crate) const CHANGE_RESOURCES: usize = 20_000;

/// The most characters in a name.
pub(crate) const NAME_LENGTH: usize = 63;

/// The most characters in a free word, such as a model or adapter version.
pub(crate) const WORD_LENGTH: usize = 128;

/// The most keys of one account.
pub(crate) const ACCOUNT_KEYS: usize = 8;

/// The most request classes of one account.
pub(crate) const ACCOUNT_CLASSES: usize = 64;

/// The largest weight of an account.
pub(crate) const ACCOUNT_WEIGHT: u32 = 10_000;

/// The longest deadline of a tier: a day.
pub(crate) const DEADLINE_MS: u64 = 86_400_000;

/// The most shards of a pool.
pub(crate) const POOL_SHARDS: u16 = 1_024;

/// The most requests that one endpoint runs at once.
pub(crate) const ENDPOINT_SLOTS: u32 = 4_096;
