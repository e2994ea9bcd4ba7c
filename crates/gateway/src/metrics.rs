//! Counters and histograms in the Prometheus format.

use opentelemetry::{KeyValue, metrics, metrics::MeterProvider as _};
use opentelemetry_sdk::metrics as sdk;
use prometheus::Encoder as _;
use trefoildyke_decide::gateway;

use crate::record;

/// The gateway's metrics.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    ended: metrics::Counter<u64>,
    sends: metrics::Counter<u64>,
    failures: metrics::Counter<u64>,
    charges_alone: metrics::Counter<u64>,
    quarantines: metrics::Counter<u64>,
    part_quarantines: metrics::Counter<u64>,
    rollouts: metrics::Counter<u64>,
    probes: metrics::Counter<u64>,
    backoffs: metrics::Counter<u64>,
    resumed_streams: metrics::Counter<u64>,
    handovers: metrics::Counter<u64>,
    entry_queries: metrics::Counter<u64>,
    passed_over: metrics::Gauge<u64>,
    first_byte: metrics::Histogram<f64>,
    wait: metrics::Histogram<f64>,
    config_reads: metrics::Histogram<f64>,
    config_bytes: metrics::Counter<u64>,
    config_failures: metrics::Counter<u64>,
    registry: prometheus::Registry,
    /// Kept alive because the instruments stop working when it is dropped.
    _provider: sdk::SdkMeterProvider,
}

impl Metrics {
    /// Creates the instruments; `dropped` counts the dropped log lines.
    pub(crate) fn new(dropped: record::DropCounter) -> anyhow::Result<Self> {
        let registry = prometheus::Registry::new();
        let exporter =
            opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let provider = sdk::SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("trefoildyke_gateway");
        let counter = |name, about| meter.u64_counter(name).with_description(about).build();
        let histogram = |name, about| meter.f64_histogram(name).with_description(about).build();
        meter
            .u64_observable_counter("gateway_log_lines_dropped")
            .with_description("Log lines that were dropped since the writer was behind.")
            .with_callback(move |counter| counter.observe(dropped.count(), &[]))
            .build();
        Ok(Self {
            ended: counter(
                "gateway_requests_ended",
                "Requests by route, outcome and who ended them.",
            ),
            sends: counter("gateway_sends", "Sends to endpoints."),
            failures: counter("gateway_send_failures", "Failed sends by kind."),
            charges_alone: counter(
                "gateway_charges_alone",
                "Charges to a quota for which no keeper of its bucket was reached.",
            ),
            quarantines: counter(
                "gateway_quarantines",
                "Requests that are sent nowhere any more since endpoints end under them.",
            ),
            part_quarantines: counter(
                "gateway_part_quarantines",
                "Parts of prompts that are sent nowhere any more since endpoints end under them.",
            ),
            rollouts: counter(
                "gateway_rollouts",
                "Stages of moves to other versions, as heard of.",
            ),
            probes: counter(
                "gateway_probes",
                "Requests sent to idle endpoints in spite of the estimates, by service.",
            ),
            backoffs: counter(
                "gateway_backoffs",
                "Rejections that ask for no further requests for a while, by service.",
            ),
            resumed_streams: counter(
                "gateway_resumed_streams",
                "Streams that callers resume, by whether the version that began them is known.",
            ),
            handovers: counter(
                "gateway_stream_handovers",
                "Streams whose version was passed on to another daemon that keeps it from now on.",
            ),
            entry_queries: counter(
                "gateway_entry_queries",
                "Queries of an endpoint's entry to tell its version before a stream goes on.",
            ),
            passed_over: meter
                .u64_gauge("gateway_passed_over")
                .with_description("Endpoints that are idle while requests wait, by service.")
                .build(),
            first_byte: histogram("gateway_first_byte_ms", "Arrival to first byte of the answer."),
            wait: histogram("gateway_wait_ms", "Wait for a slot."),
            config_reads: histogram(
                "gateway_config_read_ms",
                "Duration of reads of the configuration by source.",
            ),
            config_bytes: counter(
                "gateway_config_read_bytes",
                "Bytes of configurations read by source.",
            ),
            config_failures: counter(
                "gateway_config_read_failures",
                "Failed reads of the configuration by source.",
            ),
            registry,
            _provider: provider,
        })
    }

    pub(crate) fn ended(&self, route: &str, outcome: record::Outcome) {
        let labels = [
            KeyValue::new("route", route.to_owned()),
            KeyValue::new("outcome", outcome.outcome),
            KeyValue::new("ended_by", outcome.ended_by.name()),
        ];
        self.ended.add(1, &labels);
    }

    pub(crate) fn sent(&self, waited_ms: u64) {
        self.sends.add(1, &[]);
        self.wait.record(waited_ms as f64, &[]);
    }

    pub(crate) fn failed(&self, kind: &'static str) {
        self.failures.add(1, &[KeyValue::new("kind", kind)]);
    }

    pub(crate) fn charged_alone(&self) {
        self.charges_alone.add(1, &[]);
    }

    pub(crate) fn quarantined(&self) {
        self.quarantines.add(1, &[]);
    }

    pub(crate) fn parts_quarantined(&self) {
        self.part_quarantines.add(1, &[]);
    }

    pub(crate) fn rollout(&self, service: &str, stage: gateway::Stage) {
        let stage = format!("{stage:?}").to_lowercase();
        let labels = [KeyValue::new("service", service.to_owned()), KeyValue::new("stage", stage)];
        self.rollouts.add(1, &labels);
    }

    pub(crate) fn backed_off(&self, service: &str) {
        self.backoffs.add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    pub(crate) fn stream_resumed(&self, is_known: bool) {
        let version = if is_known { "known" } else { "unknown" };
        self.resumed_streams.add(1, &[KeyValue::new("version", version)]);
    }

    pub(crate) fn streams_handed_over(&self, count: u64) {
        self.handovers.add(count, &[]);
    }

    pub(crate) fn entry_queried(&self) {
        self.entry_queries.add(1, &[]);
    }

    pub(crate) fn probed(&self, service: &str) {
        self.probes.add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    pub(crate) fn passed_over(&self, service: &str, count: u64) {
        self.passed_over.record(count, &[KeyValue::new("service", service.to_owned())]);
    }

    pub(crate) fn first_byte(&self, ms: u64) {
        self.first_byte.record(ms as f64, &[]);
    }

    pub(crate) fn config_read(&self, read: &record::ConfigRead) {
        let source = [KeyValue::new("source", read.source)];
        self.config_reads.record(read.read_ms as f64, &source);
        self.config_bytes.add(read.bytes as u64, &source);
    }

    pub(crate) fn config_read_failed(&self, source: &'static str) {
        self.config_failures.add(1, &[KeyValue::new("source", source)]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> Result<String, prometheus::Error> {
        let mut text = Vec::new();
        prometheus::TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }
}
