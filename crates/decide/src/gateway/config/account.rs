//! Client accounts in the configuration of a gateway.

use trefoildyke_types::id;

/// A client account.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Account {
    /// The account's name, which is passed to endpoints. Of several entries with one name, the one with the
    /// tightest quota counts, for the keys of all of them.
    pub name: id::AccountName,
    /// The API keys that callers may present. A key of several accounts belongs to the first one; an empty key
    /// belongs to none.
    #[serde(default)]
    pub keys: Vec<String>,
    /// The account's priority, 0 the most urgent; takes precedence over the priority of the route.
    #[serde(default)]
    pub priority: Option<u8>,
    /// The amount that the account may use per second, over all daemons; 0 means no limit.
    #[serde(default)]
    pub rate: f64,
    /// The amount that the account may use at once beyond the rate.
    #[serde(default)]
    pub burst: f64,
    /// The unit of `rate` and `burst`.
    #[serde(default)]
    pub unit: AccountUnit,
}

/// The unit of a quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AccountUnit {
    /// Each request counts 1.
    #[default]
    Requests,
    /// Each request counts its declared tokens.
    Tokens {
        /// The number of tokens counted for a request without declared tokens.
        undeclared: u32,
    },
}

impl Account {
    /// Returns whether the quota is lower than that of `other`.
    pub fn is_tighter_than(&self, other: &Self) -> bool {
        let limits = |account: &Self| match account.rate > 0.0 {
            true => (account.rate, account.burst),
            false => (f64::INFINITY, 0.0),
        };
        limits(self) < limits(other)
    }

    /// Returns the cost of a request with `declared` tokens against the quota.
    pub fn cost(&self, declared: Option<u32>) -> f64 {
        match self.unit {
            AccountUnit::Requests => 1.0,
            AccountUnit::Tokens { undeclared } => f64::from(declared.unwrap_or(undeclared)),
        }
    }
}
