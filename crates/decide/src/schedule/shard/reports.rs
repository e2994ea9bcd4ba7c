//! How reports on permitted requests are taken in.

use trefoildyke_types::{id, time::Timestamp};

use crate::schedule::{self, permitted};

impl schedule::Shard {
    pub(super) fn report(&mut self, now: Timestamp, report: &schedule::Report) {
        match report {
            schedule::Report::Started { key } => self.started(now, key),
            schedule::Report::FirstToken { key } => self.progress(now, key, 1),
            schedule::Report::Progress { key, tokens } => self.progress(now, key, *tokens),
            schedule::Report::Finished { key, tokens, outcome } => {
                self.finished(now, key, *tokens, *outcome);
            }
            schedule::Report::HandBack { key } => self.hand_back(now, key),
            schedule::Report::Cancel { key } => {
                if let Some(number) = self.queue.number(key) {
                    self.queue.take(number);
                }
                self.hand_back(now, key);
            }
        }
    }

    fn started(&mut self, now: Timestamp, key: &id::RequestKey) {
        let Some(permitted) = self.permitted.get_mut(key) else { return };
        if let permitted::Phase::Granted(lapse) = permitted.phase {
            permitted.phase = permitted::Phase::Sent(now);
            permitted.heard = now;
            self.lapses.remove(&(lapse, key.clone()));
        }
    }

    /// Takes in that an answer has `tokens` tokens by now.
    fn progress(&mut self, now: Timestamp, key: &id::RequestKey, tokens: u32) {
        self.started(now, key);
        let Some(permitted) = self.permitted.get_mut(key) else { return };
        if tokens <= permitted.tokens {
            return;
        }
        if let permitted::Phase::Sent(sent) = permitted.phase {
            self.first_token(now, key, sent);
        }
        self.tokens(now, key, tokens);
    }

    fn first_token(&mut self, now: Timestamp, key: &id::RequestKey, sent: Timestamp) {
        let Some(permitted) = self.permitted.get_mut(key) else { return };
        let prefill = std::mem::take(&mut permitted.prefill);
        permitted.phase = permitted::Phase::Streaming(sent);
        permitted.tokens = 1;
        permitted.heard = now;
        if let Some(endpoint) = self.fleet.get_mut(permitted.endpoint) {
            endpoint.first_token(now, sent, prefill);
            endpoint.drop_prefill(now, prefill, permitted.is_long);
        }
        permitted.is_long = false;
        self.index.confirm(permitted.endpoint, &permitted.checkpoints);
        self.flow.serve(self.flow.cost(prefill, 1.0));
        self.is_changed = true;
    }

    fn tokens(&mut self, now: Timestamp, key: &id::RequestKey, tokens: u32) {
        let Some(permitted) = self.permitted.get_mut(key) else { return };
        let more = tokens.saturating_sub(permitted.tokens);
        let seconds = now.since(permitted.heard).as_secs_f64();
        permitted.tokens = permitted.tokens.max(tokens);
        permitted.heard = now;
        let Some(endpoint) = self.fleet.get_mut(permitted.endpoint) else { return };
        if more > 0 && seconds > 0.0 {
            endpoint.observe_step(more, seconds);
        }
        endpoint.heard(now);
        self.flow.serve(f64::from(more));
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
        if outcome != schedule::Outcome::Whole {
            return;
        }
        let account = &key.account;
        let limit = permitted.max_tokens;
        let expected = self.lengths.expect(account, permitted.rank, limit);
        self.lengths.observe(account, permitted.rank, limit, tokens);
        // The account pays for what it was given, not for what was expected.
        let more = f64::from(tokens) - expected;
        if permitted.cost > 0.0 {
            self.queue.charge(permitted.rank, account, more.max(-permitted.cost), false);
        }
    }

    /// Takes back a permit that was or will be of no use.
    pub(super) fn hand_back(&mut self, now: Timestamp, key: &id::RequestKey) {
        let Some(permitted) = self.release(now, key) else { return };
        if !permitted.is_streaming() {
            self.queue.charge(permitted.rank, &key.account, -permitted.cost, false);
        }
    }

    /// Takes a request off its endpoint.
    fn release(&mut self, now: Timestamp, key: &id::RequestKey) -> Option<permitted::Permitted> {
        let permitted = self.permitted.remove(key)?;
        if let permitted::Phase::Granted(lapse) = permitted.phase {
            self.lapses.remove(&(lapse, key.clone()));
        }
        if !permitted.is_streaming() {
            self.index.withdraw(permitted.endpoint, &permitted.checkpoints);
        }
        if let Some(endpoint) = self.fleet.get_mut(permitted.endpoint) {
            endpoint.release(now, permitted.sent(), permitted.is_streaming());
            if !permitted.is_streaming() {
                endpoint.drop_prefill(now, permitted.prefill, permitted.is_long);
            }
        }
        self.is_changed = true;
        Some(permitted)
    }

    /// Lets go of all that a lost coordinator was permitted, since nobody will report its end.
    pub(super) fn coordinator_lost(&mut self, now: Timestamp, lost: id::Incarnation) {
        let its_own = self.permitted.iter().filter(|(_, permitted)| permitted.coordinator == lost);
        let keys: Vec<_> = its_own.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.release(now, &key);
        }
    }

    /// Takes back the permits whose dispatch was not reported in time.
    pub(super) fn lapse(&mut self, now: Timestamp) {
        while let Some((lapse, key)) = self.lapses.first().cloned() {
            if lapse > now {
                return;
            }
            self.lapses.remove(&(lapse, key.clone()));
            self.hand_back(now, &key);
        }
    }
}
