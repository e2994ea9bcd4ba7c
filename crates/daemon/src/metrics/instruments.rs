//! What is measured.

use opentelemetry::metrics;

/// Holds the instruments that services write to.
#[derive(Clone, Debug)]
pub struct Instruments {
    /// Requests that were accepted, by tier and pool.
    pub accepted: metrics::Counter<u64>,
    /// Final answers, by outcome and reason.
    pub finished: metrics::Counter<u64>,
    /// Requests in progress.
    pub active: metrics::UpDownCounter<i64>,
    /// The time from acceptance to the first token, in milliseconds.
    pub first_token: metrics::Histogram<f64>,
    /// The time that recording an intent takes, in milliseconds.
    pub record: metrics::Histogram<f64>,
    /// Permits that were asked for, by whether the scheduler is this daemon.
    pub asks: metrics::Counter<u64>,
    /// Tokens passed on to callers.
    pub tokens: metrics::Counter<u64>,
    /// Streams that were resumed or attached to.
    pub resumed: metrics::Counter<u64>,
}

impl Instruments {
    pub(super) fn new(meter: &metrics::Meter) -> Self {
        Self {
            accepted: counter(meter, "requests_accepted", "Requests that were accepted."),
            finished: counter(meter, "requests_finished", "Final answers by outcome."),
            active: meter
                .i64_up_down_counter("requests_active")
                .with_description("Requests in progress.")
                .build(),
            first_token: histogram(meter, "first_token_ms", "Acceptance to first token."),
            record: histogram(meter, "record_ms", "Time to record an intent."),
            asks: counter(meter, "permits_asked", "Permits that were asked for."),
            tokens: counter(meter, "tokens_delivered", "Tokens passed on to callers."),
            resumed: counter(meter, "streams_resumed", "Streams resumed or attached to."),
        }
    }
}

fn counter(
    meter: &metrics::Meter,
    name: &'static str,
    about: &'static str,
) -> metrics::Counter<u64> {
    meter.u64_counter(name).with_description(about).build()
}

fn histogram(
    meter: &metrics::Meter,
    name: &'static str,
    about: &'static str,
) -> metrics::Histogram<f64> {
    meter.f64_histogram(name).with_description(about).build()
}
