//! Measuring and showing what was measured.

use std::ops;

use opentelemetry::metrics::MeterProvider as _;
use opentelemetry_sdk::metrics as sdk;
use prometheus::Encoder as _;

use crate::metrics;

/// The name under which everything is measured.
const METER: &str = "trefoildyke";

/// Measures; published as `metrics`.
#[derive(Clone, Debug)]
pub struct Handle {
    instruments: metrics::Instruments,
    registry: prometheus::Registry,
    /// Keeps the instruments connected.
    provider: sdk::SdkMeterProvider,
}

impl Handle {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot be registered.
    pub fn new() -> anyhow::Result<Self> {
        let registry = prometheus::Registry::new();
        let exporter =
            opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let provider = sdk::SdkMeterProvider::builder().with_reader(exporter).build();
        let instruments = metrics::Instruments::new(&provider.meter(METER));
        Ok(Self { instruments, registry, provider })
    }

    /// Returns the meter, for instruments that a service reads only when it is scraped.
    pub fn meter(&self) -> opentelemetry::metrics::Meter {
        self.provider.meter(METER)
    }

    /// Returns everything measured so far in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a value cannot be written.
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
