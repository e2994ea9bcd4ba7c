//! What to send, and where.

use std::{collections, net, str};

use trefoildyke_types::{error, id};

/// Holds the keys that requests are sent with.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AccountKeys {
    /// The key of accounts that are not named.
    common: Option<String>,
    named: collections::BTreeMap<String, String>,
}

impl AccountKeys {
    /// Reads keys, each `KEY` for all accounts or `ACCOUNT=KEY` for one.
    pub fn parse(texts: &[String]) -> Self {
        let mut keys = Self::default();
        for text in texts {
            match text.split_once('=') {
                Some((account, key)) => {
                    keys.named.insert(account.to_owned(), key.to_owned());
                }
                None => keys.common = Some(text.clone()),
            }
        }
        keys
    }

    /// Returns the key of an account.
    ///
    /// # Errors
    ///
    /// Fails if there is none.
    pub fn of(&self, account: &id::AccountName) -> Result<&str, error::Error> {
        let key = self.named.get(account.as_str()).or(self.common.as_ref());
        key.map(String::as_str).ok_or_else(|| {
            let error = error::Error::new(error::ErrorKind::Invalid, "the account has no key");
            error
                .about(account)
                .remedy("name it with --key ACCOUNT=KEY, or one for all with --key KEY")
        })
    }
}

/// Says what a caller does after a failed attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Retries {
    /// How many more attempts a request gets, each at the next daemon; 0 for none.
    pub most: u32,
    /// Whether the caller waits as long as a refusal says before it tries again.
    pub obey: bool,
}

/// Says what to send, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The daemons; each request goes to the one that its arrival's host number names.
    pub daemons: Vec<net::SocketAddr>,
    /// The keys.
    pub keys: AccountKeys,
    /// The pool.
    pub pool: id::PoolName,
    /// The model.
    pub model: id::ModelName,
    /// Whether the requests may be run twice.
    pub idempotent: bool,
    /// What callers do after a failed attempt.
    pub retries: Retries,
}

impl Plan {
    /// Returns the daemon for an attempt, from 0, of a request that arrives at host `host`.
    pub fn daemon(&self, host: u16, attempt: u32) -> net::SocketAddr {
        let at = usize::from(host) + attempt as usize;
        self.daemons[at % self.daemons.len()]
    }
}

/// Reads addresses that are separated by commas.
///
/// # Errors
///
/// Names the text that is no address.
pub fn parse_addresses(text: &str) -> Result<Vec<net::SocketAddr>, error::Error> {
    let parse = |one: &str| {
        let parsed: Result<net::SocketAddr, _> = str::FromStr::from_str(one.trim());
        parsed.map_err(|e| {
            let error = error::Error::new(error::ErrorKind::Invalid, e.to_string());
            error.about(&one).remedy("write IP:PORT, several by comma")
        })
    };
    text.split(',').map(parse).collect()
}
