//! The instruments of the daemon's metrics.

use opentelemetry::metrics;

/// The instruments that the services record to.
#[derive(Clone, Debug)]
pub struct Instruments {
    /// Accepted requests, labelled with the rank of their tier.
    pub accepted: metrics::Counter<u64>,
    /// Finished requests, labelled with the reason of their end.
    pub finished: metrics::Counter<u64>,
    /// Requests in progress.
    pub active: metrics::UpDownCounter<i64>,
    /// The time from acceptance of a request to its first token, in milliseconds.
    pub first_token_time: metrics::Histogram<f64>,
    /// The time that writing a record of a request takes, in milliseconds.
    pub record_time: metrics::Histogram<f64>,
    /// Permits that were asked for, without labels.
    pub permits_asked: metrics::Counter<u64>,
    /// Tokens of answers that arrived at this daemon to be delivered to callers.
    pub tokens: metrics::Counter<u64>,
    /// Streams resumed at an endpoint or followed at another coordinator, labelled with which of the two.
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
            first_token_time: histogram(meter, "first_token_ms", "Acceptance to first token."),
            record_time: histogram(meter, "record_ms", "Time to record an intent."),
            permits_asked: counter(meter, "permits_asked", "Permits that were asked for."),
            tokens: counter(meter, "tokens_delivered", "Tokens passed on to callers."),
            resumed: counter(meter, "streams_resumed", "Streams resumed or attached to."),
        }
    }
}

fn counter(
    meter: &metrics::Meter,
    name: &'static str,
    description: &'static str,
) -> metrics::Counter<u64> {
    meter.u64_counter(name).with_description(description).build()
}

fn histogram(
    meter: &metrics::Meter,
    name: &'static str,
    description: &'static str,
) -> metrics::Histogram<f64> {
    meter.f64_histogram(name).with_description(description).build()
}
