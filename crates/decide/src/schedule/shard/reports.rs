//! Handling of reports on permitted requests.

use trefoildyke_types::{id, time::Timestamp};

use crate::schedule::{self, permitted, shard::quarantine};

impl schedule::Shard {
    pub(super) fn report(&mut self, now: Timestamp, report: &schedule::Report) {
        match report {
            schedule::Report::Started { key } => self.started(now, key),
            schedule::Report::FirstToken { key } => self.progress(now, key, 1),
            schedule::Report::Progress { key, tokens } => self.progress(now, key, *tokens),
            schedule::Report::Finished { key, tokens, outcome } => {
                self.finished(now, key, *tokens, *outcome);
            }
            schedule::Report::HandBack { key } => self.return_permit(now, key),
            schedule::Report::Cancel { key } => {
                if let Some(number) = self.queue.number(key) {
                    self.queue.take(number);
                }
                self.return_permit(now, key);
            }
        }
    }

    fn started(&mut self, now: Timestamp, key: &id::RequestKey) {
        let Some(permitted) = self.permitted.get_mut(key) else { return };
        if let permitted::Phase::Granted(expiry) = permitted.phase {
            permitted.phase = permitted::Phase::Dispatched(now);
            permitted.last_report_at = now;
            self.permit_expiries.remove(&(expiry, key.clone()));
        }
    }

    /// Records that an answer has `tokens` tokens by now.
    fn progress(&mut self, now: Timestamp, key: &id::RequestKey, tokens: u32) {
        self.started(now, key);
        let Some(permitted) = self.permitted.get_mut(key) else { return };
        if tokens <= permitted.tokens {
            return;
        }
        if let permitted::Phase::Dispatched(dispatched) = permitted.phase {
            self.first_token(now, key, dispatched);
        }
        self.record_tokens(now, key, tokens);
    }

    fn first_token(&mut self, now: Timestamp, key: &id::RequestKey, dispatched: Timestamp) {
        let Some(permitted) = self.permitted.get_mut(key) else { return };
        let prefill = std::mem::take(&mut permitted.prefill);
        permitted.phase = permitted::Phase::Streaming(dispatched);
        permitted.began_at = Some(now);
        permitted.tokens = 1;
        permitted.last_report_at = now;
        if let Some(endpoint) = self.fleet.get_mut(permitted.endpoint) {
            endpoint.first_token(now, dispatched, prefill);
            endpoint.remove_prefill(now, prefill, permitted.is_long);
        }
        permitted.is_long = false;
        self.index.mark_ready(permitted.endpoint, &permitted.checkpoints);
        self.work_rates.record_served(self.work_rates.cost(prefill, 1.0));
        self.may_grant = true;
    }

    fn record_tokens(&mut self, now: Timestamp, key: &id::RequestKey, tokens: u32) {
        let Some(permitted) = self.permitted.get_mut(key) else { return };
        let more = tokens.saturating_sub(permitted.tokens);
        let seconds = now.since(permitted.last_report_at).as_secs_f64();
        permitted.tokens = permitted.tokens.max(tokens);
        permitted.last_report_at = now;
        quarantine::record_progress(&mut self.block_quarantine, now, permitted);
        let Some(endpoint) = self.fleet.get_mut(permitted.endpoint) else { return };
        if more > 0 && seconds > 0.0 {
            endpoint.observe_step(more, seconds);
        }
        endpoint.record_report(now);
        self.work_rates.record_served(f64::from(more));
    }

    fn finished(
        &mut self,
        now: Timestamp,
        key: &id::RequestKey,
        tokens: u32,
        outcome: schedule::Outcome,
    ) {
        self.progress(now, key, tokens);
        let Some(permitted) = self.release(now, key) else { return };
        match outcome {
            schedule::Outcome::Whole => self.record_completion(now, &permitted),
            schedule::Outcome::Lost => {
                self.record_crash(now, permitted.permit.endpoint.clone(), &permitted);
                return;
            }
            schedule::Outcome::Cancelled | schedule::Outcome::Failed => return,
        }
        let account = &key.account;
        let limit = permitted.max_tokens;
        let expected = self.lengths.predict(account, permitted.rank, limit);
        self.lengths.observe(account, permitted.rank, limit, tokens);
        // The account is charged for the tokens it received, not for the expected number.
        let more = f64::from(tokens) - expected;
        if permitted.cost > 0.0 {
            self.queue.charge(permitted.rank, account, more.max(-permitted.cost), false);
        }
    }

    /// Releases a permit that was not used, and refunds its cost.
    ///
    /// The permit of a request that was dispatched stays: two coordinators that ask for the same request get
    /// the same permit, and only the one that dispatches the request reports its end.
    pub(super) fn return_permit(&mut self, now: Timestamp, key: &id::RequestKey) {
        let permitted = self.permitted.get(key);
        if permitted.is_some_and(|permitted| permitted.dispatched_at().is_some()) {
            return;
        }
        let Some(permitted) = self.release(now, key) else { return };
        self.queue.charge(permitted.rank, &key.account, -permitted.cost, false);
    }

    /// Removes a permitted request from its endpoint.
    fn release(&mut self, now: Timestamp, key: &id::RequestKey) -> Option<permitted::Permitted> {
        let permitted = self.permitted.remove(key)?;
        if let permitted::Phase::Granted(expiry) = permitted.phase {
            self.permit_expiries.remove(&(expiry, key.clone()));
        }
        if !permitted.is_streaming() {
            self.index.remove_pending(permitted.endpoint, &permitted.checkpoints);
        }
        if let Some(endpoint) = self.fleet.get_mut(permitted.endpoint) {
            endpoint.release(now, permitted.dispatched_at(), permitted.is_streaming());
            if !permitted.is_streaming() {
                endpoint.remove_prefill(now, permitted.prefill, permitted.is_long);
            }
        }
        self.may_grant = true;
        Some(permitted)
    }

    /// Releases all permitted requests of a lost coordinator, since nobody will report their end.
    pub(super) fn coordinator_lost(&mut self, now: Timestamp, lost: id::Incarnation) {
        let lost_requests =
            self.permitted.iter().filter(|(_, permitted)| permitted.coordinator == lost);
        let keys: Vec<_> = lost_requests.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.release(now, &key);
        }
    }

    /// Releases the permits whose dispatch was not reported in time.
    pub(super) fn expire_permits(&mut self, now: Timestamp) {
        while let Some((expiry, key)) = self.permit_expiries.first().cloned() {
            if expiry > now {
                return;
            }
            self.permit_expiries.remove(&(expiry, key.clone()));
            self.return_permit(now, &key);
        }
    }
}
