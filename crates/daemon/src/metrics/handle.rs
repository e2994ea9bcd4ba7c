//! Recording and exporting of metrics.

use std::ops;

use opentelemetry::metrics::MeterProvider as _;
use opentelemetry_sdk::metrics as sdk;
use prometheus::Encoder as _;

use crate::metrics;

/// The name of the meter of all instruments.
const METER: &str = "trefoildyke";

/// A handle to record and export metrics; published as `metrics`. Clones share the instruments.
#[derive(Clone, Debug)]
pub struct Handle {
    instruments: metrics::Instruments,
    registry: prometheus::Registry,
    /// Keeps the instruments connected to the registry.
    provider: sdk::SdkMeterProvider,
}

impl Handle {
    /// Creates the instruments and the registry that exports them.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be registered.
    pub fn new() -> anyhow::Result<Self> {
        let registry = prometheus::Registry::new();
        let exporter =
            opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let provider = sdk::SdkMeterProvider::builder().with_reader(exporter).build();
        let instruments = metrics::Instruments::new(&provider.meter(METER));
        Ok(Self { instruments, registry, provider })
    }

    /// Returns the meter, for instruments whose values a service computes at each scrape.
    pub fn meter(&self) -> opentelemetry::metrics::Meter {
        self.provider.meter(METER)
    }

    /// Returns the current values of all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a value cannot be encoded.
    pub fn text(&self) -> Result<String, prometheus::Error> {
        let mut text = Vec::new();
        prometheus::TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }
}

impl ops::Deref for Handle {
    type Target = metrics::Instruments;

    fn deref(&self) -> &Self::Target {
        &self.instruments
    }
}
