//! Refusal of requests under which endpoints have crashed.

use trefoildyke_types::{id, request, time::Timestamp};

use crate::{
    gateway,
    schedule::{self, permitted, prefix},
};

impl schedule::Shard {
    /// Returns the refusal of a request that is quarantined, `None` if it may run.
    pub(super) fn refuse_quarantined(
        &self,
        now: Timestamp,
        ask: &request::Ask,
        blocks: &[gateway::PartKey],
    ) -> Option<schedule::Output> {
        let fingerprint = ask.fingerprint.map(gateway::Fingerprint::from_hash);
        let wait = fingerprint.and_then(|found| self.quarantine.quarantined_for(now, found));
        let wait = wait.or_else(|| self.block_quarantine.quarantined_for(now, blocks))?;
        let refusal = request::Refusal::new(
            request::RefusalKind::NotRun,
            "quarantined",
            "endpoints were lost each time they ran this request; change it, or send it again \
             after the given time",
        );
        let refusal = refusal.retry_after(wait.as_millis() as u64);
        Some(schedule::Output::Shed { key: ask.key.clone(), refusal })
    }

    /// Records that an endpoint was lost while it ran a request.
    pub(super) fn record_crash(
        &mut self,
        now: Timestamp,
        endpoint: id::EndpointName,
        permitted: &permitted::Permitted,
    ) {
        let Some(sent_at) = permitted.dispatched_at() else { return };
        let Some(hash) = permitted.fingerprint else { return };
        self.block_quarantine.record_crash(
            now,
            &gateway::PartCut {
                request: gateway::Fingerprint::from_hash(hash),
                parts: &shared_blocks(&permitted.checkpoints),
                endpoint: &endpoint,
                start: 0,
                sent_at,
                began_at: permitted.began_at,
            },
        );
        let crash = gateway::Crash {
            fingerprint: gateway::Fingerprint::from_hash(hash),
            endpoint,
            start: 0,
            age_ms: 0,
            refuted: false,
        };
        self.has_new_quarantine |= !self.quarantine.learn(now, &[crash]).is_empty();
    }

    /// Records that an endpoint has completed a request, which shows that the request does not crash
    /// endpoints.
    pub(super) fn record_completion(&mut self, now: Timestamp, permitted: &permitted::Permitted) {
        if let Some(sent_at) = permitted.dispatched_at().filter(|_| !permitted.survived) {
            let blocks = shared_blocks(&permitted.checkpoints);
            self.block_quarantine.record_survival(now, &blocks, sent_at);
        }
        if let Some(hash) = permitted.fingerprint {
            // A request that may run again is not waiting here, so the effects need no action.
            let _ = self.quarantine.record_completion(now, gateway::Fingerprint::from_hash(hash));
        }
    }

    /// Decides which blocks of prompts are quarantined.
    pub(super) fn decide_blocks(&mut self, now: Timestamp) {
        if self.block_quarantine.has_crashes() {
            self.has_new_quarantine |= !self.block_quarantine.decide(now).is_empty();
        }
    }

    /// Refuses the waiting requests that have been quarantined since the last call.
    pub(super) fn shed_quarantined(&mut self, now: Timestamp, outputs: &mut Vec<schedule::Output>) {
        if !std::mem::take(&mut self.has_new_quarantine) {
            return;
        }
        let refused = self.queue.iter().filter_map(|(number, waiting)| {
            let blocks = shared_blocks(&waiting.checkpoints);
            let refusal = self.refuse_quarantined(now, &waiting.ask, &blocks)?;
            Some((number, refusal))
        });
        for (number, refusal) in refused.collect::<Vec<_>>() {
            self.queue.take(number);
            outputs.push(refusal);
        }
    }
}

/// The maximum number of blocks that are told apart.
const MAX_BLOCKS: usize = 15;

/// Stands for the shard, whose prompts all have it in common.
const SHARD_KEY: gateway::PartKey = gateway::PartKey::from_hash(0);

/// Returns the keys of the blocks of a prompt that other requests may share: all checkpoints but the last
/// one. Without such blocks there are no keys.
pub(super) fn shared_blocks(checkpoints: &[prefix::Checkpoint]) -> Vec<gateway::PartKey> {
    let Some((_, shared)) = checkpoints.split_last().filter(|(_, shared)| !shared.is_empty())
    else {
        return Vec::new();
    };
    let shared = shared.iter().take(MAX_BLOCKS);
    let keys = shared.map(|checkpoint| gateway::PartKey::from_hash(checkpoint.block));
    std::iter::once(SHARD_KEY).chain(keys).collect()
}

/// Records that an answer goes on, which shows after a while that the blocks of its prompt do not crash
/// endpoints.
pub(super) fn record_progress(
    quarantine: &mut gateway::PartQuarantine,
    now: Timestamp,
    permitted: &mut permitted::Permitted,
) {
    let start_time = quarantine.params().start_time;
    let Some(sent_at) = permitted.dispatched_at() else { return };
    let is_going_on = permitted.began_at.is_some_and(|began| now.since(began) >= start_time);
    if is_going_on && !permitted.survived {
        permitted.survived = true;
        quarantine.record_survival(now, &shared_blocks(&permitted.checkpoints), sent_at);
    }
}
