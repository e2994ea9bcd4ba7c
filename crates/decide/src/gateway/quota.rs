//! Quotas that hold over all daemons.

use std::collections;

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway;

/// Holds the settings of the quotas.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QuotaParams {
    /// The window over which a quota holds, in seconds: at most the rate times this plus the burst
    /// may be used within it; 8.
    pub window_s: f64,
    /// The part of that by which all daemons together may exceed it; 0.1.
    pub overshoot: f64,
    /// By how much more they may exceed it, in the quota's unit; 0.
    pub slack: f64,
}

impl Default for QuotaParams {
    fn default() -> Self {
        Self { window_s: 8.0, overshoot: 0.1, slack: 0.0 }
    }
}

/// The part of the permitted excess that a full bucket holds. The rest covers what daemons admit
/// at the same moment without knowing of each other, and a cut that is noticed only by silence.
const EXCESS_PART: f64 = 0.4;

/// The rate by which the time is told until a bucket that does not refill holds enough; a second.
const LEAST_RATE: f64 = 1.0;

/// Bounds what each account uses over all daemons.
///
/// Two daemons keep the bucket of an account; the others ask the first of them for each request, and the second if
/// that does not reply. Each draws from its bucket what it gives and what the other says it has given. The bucket
/// refills with all that the quota allows in a window, spread evenly: the burst as well, since a caller may use it
/// once in each window. A keeper that hears only a part of the members refills only that part, and a daemon that
/// reaches no keeper has its equal part in a bucket of its own, so that the parts of a split system together
/// stay within the quota.
///
/// The load that this answers: a few requests a second at each of some hundred daemons, and one account that sends five times
/// its usual. With a bucket at each daemon, all of them admit until they have heard of each other, which takes news
/// to all twenty times a second.
///
/// What was used before a daemon's start is not known to it. Its buckets start full: the excess that is permitted
/// covers one bucket more. An empty start refused callers that were within their quotas
/// right after all daemons had lost power.
#[derive(Clone, Debug)]
pub struct Quota {
    params: QuotaParams,
    buckets: collections::HashMap<id::AccountName, Bucket>,
    /// The mark of the hubs by which it was last worked out whose buckets this daemon keeps.
    hub_mark: Option<u64>,
}

#[derive(Clone, Debug)]
struct Bucket {
    level: f64,
    refilled: Timestamp,
    /// Taken at this daemon since its start.
    used: f64,
    /// Given back at this daemon since its start.
    returned: f64,
    /// Whether nothing was taken from it yet.
    is_new: bool,
    /// Whether another daemon's level was taken over.
    adopted: bool,
    /// Whether the next level that another daemon tells is taken over.
    adopts: bool,
    /// Whether it was used since the others were told.
    has_news: bool,
    /// Whether this daemon keeps it for others.
    is_kept: bool,
}

/// The part of an account's quota that a daemon may give.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaPart {
    /// Of the rate at which the bucket refills; 0 to 1.
    pub rate: f64,
    /// Of the bucket's size; above 0, at most 1.
    pub size: f64,
}

impl QuotaPart {
    /// Returns the same part of both.
    pub const fn equal(part: f64) -> Self {
        Self { rate: part, size: part }
    }
}

impl Quota {
    /// Creates buckets on first use.
    pub fn new(params: QuotaParams) -> Self {
        Self { params, buckets: collections::HashMap::new(), hub_mark: None }
    }

    /// Takes `cost` from the account's bucket, or says in how many seconds to come back.
    ///
    /// # Errors
    ///
    /// Fails with the seconds until the bucket is refilled.
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
        let (rate, whole) = self.params.refill(account);
        let (rate, burst) = (rate * part.rate, whole * part.size);
        let bucket = self.bucket(now, &account.name);
        if std::mem::take(&mut bucket.is_new) {
            bucket.adopts = false;
            bucket.level += if bucket.adopted { 0.0 } else { whole };
        }
        bucket.refill(now, rate, burst);
        // A request larger than the burst passes a full bucket, else it would never pass.
        let least = cost.min(burst);
        if bucket.level < least {
            return Err((least - bucket.level) / rate.max(LEAST_RATE));
        }
        bucket.level -= cost;
        bucket.used += cost;
        bucket.has_news = true;
        Ok(())
    }

    /// Gives back what was taken for a request that was sent nowhere.
    ///
    /// The others hear of it as well. If they did not, each request that is refused by overload at one daemon
    /// would use up the quota at all others, and a flood of one account would be refused far below it.
    pub fn give_back(&mut self, now: Timestamp, account: &id::AccountName, cost: f64) {
        let bucket = self.bucket(now, account);
        bucket.level += cost;
        bucket.returned += cost;
        bucket.has_news = true;
    }

    /// Notes what another daemon has taken and given back.
    pub fn note_others(&mut self, now: Timestamp, spend: &gateway::AccountSpend) {
        self.bucket(now, &spend.account).level -= spend.used as f64 - spend.returned as f64;
    }

    /// Takes over what another daemon's bucket holds, right after the start.
    ///
    /// All daemons' buckets follow the same uses; a daemon that has just started knows of none and
    /// would refuse callers who are within their quotas.
    pub fn adopt(&mut self, now: Timestamp, account: &id::AccountName, level: i64) {
        let bucket = self.bucket(now, account);
        if std::mem::take(&mut bucket.adopts) {
            bucket.adopted = true;
            bucket.level = bucket.level.max(level as f64);
        }
    }

    /// Returns what each account has used at this daemon since its start: of the accounts that were
    /// used since the last call, or of all.
    pub fn used(&mut self, all: bool) -> Vec<gateway::AccountSpend> {
        let mut used = Vec::new();
        for (account, bucket) in &mut self.buckets {
            if std::mem::take(&mut bucket.has_news) || all {
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
            has_news: false,
            is_kept: false,
        };
        self.buckets.entry(account.clone()).or_insert_with(new)
    }

    /// Takes in that this daemon may keep the buckets of other accounts from now on, as `mesh` says.
    ///
    /// A bucket that it begins to keep while others may still keep it starts empty, and takes over their level. Else each
    /// change of the members would give the permitted excess once more. Right after its own start a daemon takes over from
    /// nobody: all may have started.
    pub fn note_hubs(
        &mut self,
        now: Timestamp,
        mesh: &gateway::Mesh,
        accounts: &[gateway::Account],
    ) {
        if self.hub_mark.replace(mesh.hub_mark()) == Some(mesh.hub_mark()) {
            return;
        }
        for account in accounts {
            let keeps = mesh.keeps(&account.name);
            let bucket = self.bucket(now, &account.name);
            if keeps && !bucket.is_kept && !mesh.is_young(now) {
                bucket.restart(now);
            }
            bucket.is_kept = keeps;
        }
    }

    /// Starts the buckets of accounts that have none, so that they refill before the first use.
    pub fn open(&mut self, now: Timestamp, accounts: &[gateway::Account]) {
        for account in accounts {
            self.bucket(now, &account.name);
        }
    }
}

impl QuotaParams {
    /// Returns the rate a second and the size of an account's bucket.
    fn refill(&self, account: &gateway::Account) -> (f64, f64) {
        let whole = account.rate * self.window_s + account.burst;
        let size = (whole * self.overshoot + self.slack) * EXCESS_PART;
        (whole / self.window_s, size.max(1.0))
    }
}

impl Bucket {
    /// Empties it.
    fn restart(&mut self, now: Timestamp) {
        self.level = self.level.min(0.0);
        self.refilled = now;
        self.is_new = false;
        self.adopts = true;
    }

    fn refill(&mut self, now: Timestamp, rate: f64, burst: f64) {
        let passed = now.since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.level = (self.level + passed * rate).min(burst).max(-burst);
    }
}
