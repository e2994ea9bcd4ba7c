//! Limits on the resources that operators may declare.

/// The maximum number of resources in one change, twice the number of accounts at the target size.
pub(crate) const CHANGE_RESOURCES: usize = 20_000;

/// The maximum number of characters in a name.
pub(crate) const NAME_LENGTH: usize = 63;

/// The maximum number of characters in an identifier for engines, such as a model's name or version.
pub(crate) const IDENT_LENGTH: usize = 128;

/// The maximum number of keys of one account.
pub(crate) const ACCOUNT_KEYS: usize = 8;

/// The maximum number of request classes of one account.
pub(crate) const ACCOUNT_CLASSES: usize = 64;

/// The maximum weight of an account.
pub(crate) const ACCOUNT_WEIGHT: u32 = 10_000;

/// The maximum deadline of a tier, one day in milliseconds.
pub(crate) const DEADLINE_MS: u64 = 86_400_000;

/// The maximum number of shards of a pool.
pub(crate) const POOL_SHARDS: u16 = 1_024;

/// The maximum number of requests that one endpoint runs at the same time.
pub(crate) const ENDPOINT_SLOTS: u32 = 4_096;
