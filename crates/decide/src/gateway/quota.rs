//! Quotas that hold over all daemons.

use std::collections;

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway;

/// Holds the settings of the quotas.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QuotaParams {
    /// The part of an account's quota that a lone daemon never uses, for what it has not heard of
    /// yet; 0.
    pub reserve: f64,
}

impl Default for QuotaParams {
    fn default() -> Self {
        Self { reserve: 0.0 }
    }
}

/// Bounds what each account uses over all daemons.
///
/// Every daemon keeps a token bucket for each account and draws from it what it admits itself and
/// what the others say they have admitted. A daemon that hears only a part of the members refills
/// only that part of the rate, so that the parts of a split system together stay within the quota.
/// A bucket starts empty: what was used before a restart is not known.
#[derive(Clone, Debug, Default)]
pub struct Quota {
    params: QuotaParams,
    buckets: collections::HashMap<id::AccountName, Bucket>,
}

#[derive(Clone, Debug)]
struct Bucket {
    level: f64,
    refilled: Timestamp,
    /// Used at this daemon since its start.
    used: f64,
}

impl Quota {
    /// Creates buckets on first use.
    pub fn new(params: QuotaParams) -> Self {
        Self { params, buckets: collections::HashMap::new() }
    }

    /// Takes `cost` from the account's bucket, or says in how many seconds to come back.
    ///
    /// `part` is the part of the members that this daemon hears, itself included.
    ///
    /// # Errors
    ///
    /// Fails with the seconds until the bucket is refilled.
    pub fn take(
        &mut self,
        now: Timestamp,
        account: &gateway::Account,
        cost: f64,
        part: f64,
    ) -> Result<(), f64> {
        if account.rate <= 0.0 {
            return Ok(());
        }
        let part = part * (1.0 - self.params.reserve);
        let (rate, burst) = (account.rate * part, account.burst.max(1.0) * part);
        let bucket = self.bucket(now, &account.name);
        bucket.refill(now, rate, burst);
        // A request larger than the burst passes a full bucket, else it would never pass.
        let least = cost.min(burst);
        if bucket.level < least {
            return Err((least - bucket.level) / rate);
        }
        bucket.level -= cost;
        bucket.used += cost;
        Ok(())
    }

    /// Gives back what was taken for a request that was sent nowhere.
    pub fn give_back(&mut self, now: Timestamp, account: &id::AccountName, cost: f64) {
        // `used` stays: the others were told of it, and a counter that falls reads as a restart.
        self.bucket(now, account).level += cost;
    }

    /// Notes what the other daemons have admitted.
    pub fn note_others(&mut self, now: Timestamp, account: &id::AccountName, cost: f64) {
        self.bucket(now, account).level -= cost;
    }

    /// Returns what each account has used at this daemon since its start.
    pub fn used(&self) -> Vec<gateway::AccountSpend> {
        let spend = |(account, bucket): (&id::AccountName, &Bucket)| gateway::AccountSpend {
            account: account.clone(),
            used: bucket.used as u64,
        };
        self.buckets.iter().filter(|(_, bucket)| bucket.used > 0.0).map(spend).collect()
    }

    fn bucket(&mut self, now: Timestamp, account: &id::AccountName) -> &mut Bucket {
        let new = || Bucket { level: 0.0, refilled: now, used: 0.0 };
        self.buckets.entry(account.clone()).or_insert_with(new)
    }

    /// Starts the buckets of accounts that have none, so that they refill before the first use.
    pub fn open(&mut self, now: Timestamp, accounts: &[gateway::Account]) {
        for account in accounts {
            self.bucket(now, &account.name);
        }
    }
}

impl Bucket {
    fn refill(&mut self, now: Timestamp, rate: f64, burst: f64) {
        let passed = now.since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.level = (self.level + passed * rate).min(burst).max(-burst);
    }
}
