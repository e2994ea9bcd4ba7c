//! Answers of endpoints, which show that parts do not crash them.

use std::time;

use trefoildyke_types::time::Timestamp;

use crate::gateway::{
    self, PartQuarantine,
    part_quarantine::{
        moment::{self, Moment},
        record,
    },
};

/// The maximum number of stored survivals; they take about 100 KB.
const MAX_SURVIVALS: usize = 4_096;

impl PartQuarantine {
    /// Records that an endpoint has answered a request with these parts that was sent at `sent_at`.
    /// A part that crashes endpoints would have crashed it.
    ///
    /// Returns what the hubs should know: the survivals that refute known crashes.
    pub fn record_survival(
        &mut self,
        now: Timestamp,
        parts: &[gateway::PartKey],
        sent_at: Timestamp,
    ) -> Vec<gateway::PartSurvival> {
        let sent_at = Moment::from(sent_at);
        if let Some(service) = parts.first() {
            self.record_answer(*service, sent_at);
        }
        let refuting = parts.iter().filter(|part| self.survive(now, **part, sent_at)).copied();
        let refuting: Vec<_> = refuting.collect();
        if !refuting.is_empty() {
            self.is_stale = true;
        }
        let age_ms = moment::millis(sent_at.until(now.into()));
        refuting.into_iter().map(|part| gateway::PartSurvival { part, age_ms }).collect()
    }

    /// Adds survivals that another daemon reported.
    pub fn learn_survivals(&mut self, now: Timestamp, survivals: &[gateway::PartSurvival]) {
        for survival in survivals {
            let sent_at = Moment::from(now).before(survival.age_ms);
            self.survive(now, survival.part, sent_at);
            let is_service = |record: &record::CrashRecord| record.service() == Some(survival.part);
            if self.crashes.values().any(is_service) {
                self.record_answer(survival.part, sent_at);
            }
        }
        self.is_stale = true;
    }

    fn record_answer(&mut self, service: gateway::PartKey, sent_at: Moment) {
        let answers = self.answers.entry(service).or_default();
        let at = answers.partition_point(|answer| *answer < sent_at);
        answers.insert(at, sent_at);
        if answers.len() > self.params.min_answers {
            answers.pop_front();
        }
    }

    /// Returns whether endpoints have answered enough requests of a service that were sent after
    /// `moment`.
    pub(super) fn are_answered_since(&self, service: gateway::PartKey, moment: Moment) -> bool {
        let Some(answers) = self.answers.get(&service) else { return false };
        answers.len() >= self.params.min_answers
            && answers.front().is_some_and(|first| *first > moment)
    }

    /// Returns whether the survival refutes a known crash.
    fn survive(&mut self, now: Timestamp, part: gateway::PartKey, sent_at: Moment) -> bool {
        self.limit_survivals(now);
        if self.survivals.len() < MAX_SURVIVALS || self.survivals.contains_key(&part) {
            let latest = self.survivals.entry(part).or_insert(sent_at);
            *latest = sent_at.max(*latest);
        }
        let mut refutes = false;
        for record in self.crashes.values_mut() {
            refutes |= record.crashed_at < sent_at && record.refute(part);
        }
        refutes
    }

    /// Removes the survivals that are older than any crash that can still be reported.
    fn limit_survivals(&mut self, now: Timestamp) {
        if self.survivals.len() >= MAX_SURVIVALS {
            let oldest = Moment::from(now).before(moment::millis(self.params.entry_ttl));
            self.survivals.retain(|_, sent_at| *sent_at >= oldest);
        }
    }

    /// Refutes the crashes of endpoints that are still listed too long after the crash: they have
    /// only lost a connection.
    ///
    /// `was_listed_after` returns whether the given start of an endpoint was still listed for a
    /// duration after a time.
    pub fn refute_listed(
        &mut self,
        now: Timestamp,
        was_listed_after: impl Fn(&record::EndpointStart, Timestamp, time::Duration) -> bool,
    ) {
        let entry_ttl = self.params.entry_ttl;
        let mut is_changed = false;
        for ((start, _), record) in &mut self.crashes {
            let is_due = record.age(now.into()) >= entry_ttl && record.suspects().next().is_some();
            if is_due && was_listed_after(start, record.crashed_at.timestamp(), entry_ttl) {
                record.refute_all();
                is_changed = true;
            }
        }
        if is_changed {
            self.refresh(now);
        }
    }
}
