//! Client accounts as a gateway knows them.

use trefoildyke_types::id;

/// Describes a client account.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Account {
    /// The account's name; endpoints are told it.
    pub name: id::AccountName,
    /// The keys that callers may present.
    #[serde(default)]
    pub keys: Vec<String>,
    /// The account's rank, 0 the most urgent; goes before the route's.
    #[serde(default)]
    pub priority: Option<u8>,
    /// How much the account may use a second, over all daemons; 0 means no limit.
    #[serde(default)]
    pub rate: f64,
    /// How much it may use at once beyond the rate.
    #[serde(default)]
    pub burst: f64,
    /// What `rate` and `burst` count.
    #[serde(default)]
    pub unit: AccountUnit,
}

/// Says what a quota counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AccountUnit {
    /// Each request counts 1.
    #[default]
    Requests,
    /// Each request counts its declared tokens.
    Tokens {
        /// What a request without declared tokens counts.
        undeclared: u32,
    },
}

impl Account {
    /// Returns what a request with `declared` tokens counts against the quota.
    pub fn cost(&self, declared: Option<u32>) -> f64 {
        match self.unit {
            AccountUnit::Requests => 1.0,
            AccountUnit::Tokens { undeclared } => f64::from(declared.unwrap_or(undeclared)),
        }
    }
}
