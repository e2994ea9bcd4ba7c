//! Quotas that apply to the sum over all daemons.

use std::collections;

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway;

/// The settings of the quotas.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QuotaParams {
    /// The window of a quota in seconds: within it, an account may use at most the rate times the
    /// window plus the burst; 8.
    pub window_s: f64,
    /// The fraction of that amount by which all daemons together may exceed it; 0.1.
    pub overshoot: f64,
    /// A further amount by which they may exceed it, in the unit of the quota; 0.
    pub slack: f64,
}

impl Default for QuotaParams {
    fn default() -> Self {
        Self { window_s: 8.0, overshoot: 0.1, slack: 0.0 }
    }
}

/// The fraction of the permitted excess that a full bucket holds.
///
/// The rest covers requests that daemons admit at the same moment without knowing of each other,
/// and a network partition that daemons notice only through silence.
const EXCESS_FRACTION: f64 = 0.4;

/// The minimum refill rate per second used to compute the wait of a refused request, so that the
/// wait is finite for a bucket that does not refill.
const MIN_REFILL_RATE: f64 = 1.0;

/// Limits the usage of each client account over all daemons.
///
/// Two daemons, the keepers, hold the token bucket of an account. The other daemons ask the first
/// keeper for each request, and the second if the first does not reply. Each keeper subtracts from
/// its bucket what it grants and what the other keeper reports as granted. The bucket refills with
/// everything that the quota allows in a window, spread evenly. This includes the burst, since a
/// caller may use the burst once in each window. A keeper that hears only some of the members
/// refills only their fraction. A daemon that reaches no keeper has its equal fraction in a bucket
/// of its own. The parts of a partitioned system together therefore stay within the quota.
///
/// This design is for a few requests per second at each of some hundred daemons, and one account
/// that sends five times its usual load. With a separate bucket at each daemon, all daemons would
/// admit requests until they had heard of each other, which would take messages to all daemons
/// twenty times a second.
///
/// A daemon does not know the usage before its start. Its buckets start full, because the permitted
/// excess covers one more bucket. With buckets that started empty, callers within their quotas were
/// refused right after a power failure of all daemons.
#[derive(Clone, Debug)]
pub struct Quota {
    params: QuotaParams,
    buckets: collections::HashMap<id::AccountName, Bucket>,
    /// The hash of the hubs for which `is_kept` was last determined.
    hub_hash: Option<u64>,
}

#[derive(Clone, Debug)]
struct Bucket {
    level: f64,
    refilled: Timestamp,
    /// The amount taken at this daemon since its start.
    used: f64,
    /// The amount given back at this daemon since its start.
    returned: f64,
    /// Whether nothing has been taken from the bucket yet.
    is_new: bool,
    /// Whether the level of another daemon's bucket was adopted.
    adopted: bool,
    /// Whether the next level reported by another daemon is adopted.
    adopts: bool,
    /// Whether the bucket has changed since the last report to the other daemons.
    has_changed: bool,
    /// Whether this daemon is a keeper of the bucket.
    is_keeper: bool,
}

/// The fraction of an account's quota that a daemon may grant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaPart {
    /// The fraction of the rate at which the bucket refills; 0 to 1.
    pub rate: f64,
    /// The fraction of the bucket's size; above 0, at most 1.
    pub size: f64,
}

impl QuotaPart {
    /// Returns a part with the same fraction of the rate and the size.
    pub const fn equal(part: f64) -> Self {
        Self { rate: part, size: part }
    }
}

impl Quota {
    /// Creates a set of quotas without buckets; each bucket is created on first use.
    pub fn new(params: QuotaParams) -> Self {
        Self { params, buckets: collections::HashMap::new(), hub_hash: None }
    }

    /// Takes `cost` from the account's bucket.
    ///
    /// # Errors
    ///
    /// Fails with the number of seconds until the bucket will hold enough.
    pub fn take(
        &mut self,
        now: Timestamp,
        account: &gateway::Account,
        cost: f64,
        part: QuotaPart,
    ) -> Result<(), f64> {
        if account.rate <= 0.0 {
            return Ok(());
        }
        let (full_rate, full_size) = self.params.rate_and_size(account);
        let (rate, size) = (full_rate * part.rate, full_size * part.size);
        let bucket = self.bucket(now, &account.name);
        if std::mem::take(&mut bucket.is_new) {
            bucket.adopts = false;
            bucket.level += if bucket.adopted { 0.0 } else { full_size };
        }
        bucket.refill(now, rate, size);
        // A request that costs more than the bucket size needs a full bucket; otherwise it would
        // never pass.
        let needed = cost.min(size);
        if bucket.level < needed {
            return Err((needed - bucket.level) / rate.max(MIN_REFILL_RATE));
        }
        bucket.level -= cost;
        bucket.used += cost;
        bucket.has_changed = true;
        Ok(())
    }

    /// Gives back what was taken for a request that was not sent.
    ///
    /// The other daemons learn of it as well. Otherwise each request refused by one daemon because
    /// of overload would use up the quota at all other daemons, and an account that floods the
    /// daemons would be refused far below its quota.
    pub fn give_back(&mut self, now: Timestamp, account: &id::AccountName, cost: f64) {
        let bucket = self.bucket(now, account);
        bucket.level += cost;
        bucket.returned += cost;
        bucket.has_changed = true;
    }

    /// Applies to the bucket what another daemon has taken and given back.
    pub fn apply_remote_usage(&mut self, now: Timestamp, spend: &gateway::AccountSpend) {
        self.bucket(now, &spend.account).level -= spend.used as f64 - spend.returned as f64;
    }

    /// Raises the bucket to the level of another daemon's bucket, the first time that a level is
    /// reported after the bucket was restarted, or after it was created and before its first use.
    ///
    /// The buckets of all daemons follow the same usage. A daemon that has just started knows of no
    /// usage and would refuse callers who are within their quotas.
    pub fn adopt(&mut self, now: Timestamp, account: &id::AccountName, level: i64) {
        let bucket = self.bucket(now, account);
        if std::mem::take(&mut bucket.adopts) {
            bucket.adopted = true;
            bucket.level = bucket.level.max(level as f64);
        }
    }

    /// Returns the usage of accounts at this daemon since its start: of all accounts if `all` is
    /// set, otherwise of those whose usage has changed since the last call.
    pub fn used(&mut self, all: bool) -> Vec<gateway::AccountSpend> {
        let mut used = Vec::new();
        for (account, bucket) in &mut self.buckets {
            if std::mem::take(&mut bucket.has_changed) || all {
                used.push(gateway::AccountSpend {
                    account: account.clone(),
                    used: bucket.used as u64,
                    returned: bucket.returned as u64,
                    level: bucket.level as i64,
                });
            }
        }
        used
    }

    fn bucket(&mut self, now: Timestamp, account: &id::AccountName) -> &mut Bucket {
        let new = || Bucket {
            level: 0.0,
            refilled: now,
            used: 0.0,
            returned: 0.0,
            is_new: true,
            adopted: false,
            adopts: true,
            has_changed: false,
            is_keeper: false,
        };
        self.buckets.entry(account.clone()).or_insert_with(new)
    }

    /// Updates whether this daemon is a keeper of each account's bucket, after a change of the hubs
    /// in `mesh`.
    ///
    /// A bucket that this daemon begins to keep while others may still keep it starts empty and
    /// adopts their level. Otherwise each change of the members would grant the permitted excess
    /// once more. Shortly after its own start a daemon does not restart the buckets, because all
    /// daemons may have started at that time.
    pub fn update_keepers(
        &mut self,
        now: Timestamp,
        mesh: &gateway::Mesh,
        accounts: &[gateway::Account],
    ) {
        if self.hub_hash.replace(mesh.hub_hash()) == Some(mesh.hub_hash()) {
            return;
        }
        for account in accounts {
            let is_keeper = mesh.keeps(&account.name);
            let bucket = self.bucket(now, &account.name);
            if is_keeper && !bucket.is_keeper && !mesh.is_young(now) {
                bucket.restart(now);
            }
            bucket.is_keeper = is_keeper;
        }
    }

    /// Creates the missing buckets of `accounts`, so that they refill before the first use.
    pub fn open(&mut self, now: Timestamp, accounts: &[gateway::Account]) {
        for account in accounts {
            self.bucket(now, &account.name);
        }
    }
}

impl QuotaParams {
    /// Returns the refill rate per second and the size of an account's bucket.
    fn rate_and_size(&self, account: &gateway::Account) -> (f64, f64) {
        let window_quota = account.rate * self.window_s + account.burst;
        let size = (window_quota * self.overshoot + self.slack) * EXCESS_FRACTION;
        (window_quota / self.window_s, size.max(1.0))
    }
}

impl Bucket {
    /// Empties the bucket and lets it adopt a reported level.
    fn restart(&mut self, now: Timestamp) {
        self.level = self.level.min(0.0);
        self.refilled = now;
        self.is_new = false;
        self.adopts = true;
    }

    fn refill(&mut self, now: Timestamp, rate: f64, size: f64) {
        let elapsed = now.since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.level = (self.level + elapsed * rate).min(size).max(-size);
    }
}
