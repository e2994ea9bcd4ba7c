//! The metrics of the records.

use opentelemetry::metrics;
use trefoildyke_decide::coordinate;

use crate::intents::{Counts, Handle};

/// A counter's name, its description and the function that reads its value.
type Counter = (&'static str, &'static str, fn(&Counts) -> u64);

const COUNTERS: [Counter; 11] = [
    ("intent_records", "Records committed by this daemon.", |counts| counts.rows),
    ("intent_batches", "Batches of records.", |counts| counts.batches),
    ("intent_writes", "Writes of records.", |counts| counts.writes),
    ("intent_reads", "Reads of records.", |counts| counts.reads),
    ("intent_conflicts", "Writes that met another daemon's.", |counts| counts.conflicts),
    ("intent_lost", "Writes whose answer was lost.", |counts| counts.lost),
    ("intent_refused", "Writes and reads refused or unanswered.", |counts| counts.refused),
    ("intent_written_bytes", "Bytes of the values written.", |counts| counts.written_bytes),
    ("intent_forwarded", "Records sent to a peer.", |counts| counts.forwarded),
    ("intent_calls", "Calls that records were sent in.", |counts| counts.calls),
    ("intent_deleted", "Parts deleted after their retention.", |counts| counts.deleted),
];

impl Handle {
    /// Registers the counters and a gauge of whether records can be written with `meter`.
    pub fn export(&self, meter: &metrics::Meter) {
        for (name, description, read) in COUNTERS {
            let stats = self.stats.clone();
            let observe = move |observer: &dyn metrics::AsyncInstrument<u64>| {
                observer.observe(read(&stats.counts()), &[]);
            };
            meter
                .u64_observable_counter(name)
                .with_description(description)
                .with_callback(observe)
                .build();
        }
        let availability = self.availability.clone();
        let observe = move |observer: &dyn metrics::AsyncInstrument<u64>| {
            let up = availability.state() == coordinate::ServiceState::Up;
            observer.observe(u64::from(up), &[]);
        };
        meter
            .u64_observable_gauge("intent_service_up")
            .with_description("1 if records can be written.")
            .with_callback(observe)
            .build();
    }
}
