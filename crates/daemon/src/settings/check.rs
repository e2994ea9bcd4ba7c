//! The range checks of the settings.

use std::{fmt, ops};

use crate::{operators, settings};

/// The minimum length of a peer key in bytes.
const SHORTEST_KEY: usize = 16;

impl settings::Settings {
    /// Checks that every value is within its range.
    pub(super) fn check(&self) -> Result<(), settings::Error> {
        not_empty("host", self.host.as_str(), "set the host's name as the platform's list has it")?;
        not_empty("zone", self.zone.as_str(), "set the availability zone of this host")?;
        within("threads", self.threads, 1..=1_024, "use 1 to 1024 threads")?;
        within("events", self.events, 1..=10_000_000, "keep 1 to 10000000 events")?;
        self.check_peers()?;
        operators::Tokens::parse(&self.operators.token_hashes)
            .map_err(|error| settings::Error::Form(format!("operators.{error}")))?;
        self.intents.check().map_err(|error| settings::Error::Form(error.to_string()))?;
        self.orders.check().map_err(|error| settings::Error::Form(error.to_string()))?;
        self.check_callers()?;
        self.check_operators()?;
        self.check_config()?;
        self.check_coordinate()?;
        let call = self.platform.call_ms;
        within("platform.call_ms", call, 10..=60_000, "allow 10 to 60000 milliseconds")
    }

    fn check_peers(&self) -> Result<(), settings::Error> {
        let keys = &self.peers.keys;
        let remedy = "list at least one key of 16 bytes or more, the same on every host";
        if keys.is_empty() || keys.iter().any(|key| key.reveal().len() < SHORTEST_KEY) {
            let message = "a key is missing or too short".to_owned();
            return Err(settings::Error::Value { field: "peers.keys", message, remedy });
        }
        let limits = &self.peers.limits;
        let least = limits.heartbeat_ms.saturating_mul(3);
        let remedy = "allow at least three times peers.limits.heartbeat_ms";
        within("peers.limits.silence_ms", limits.silence_ms, least..=600_000, remedy)?;
        let least = limits.idle_heartbeat_ms.saturating_mul(3);
        let remedy = "allow at least three times peers.limits.idle_heartbeat_ms";
        within("peers.limits.idle_silence_ms", limits.idle_silence_ms, least..=600_000, remedy)
    }

    fn check_callers(&self) -> Result<(), settings::Error> {
        let callers = &self.callers;
        let remedy = "allow 1 to 1000000 connections";
        within("callers.connections", callers.connections, 1..=1_000_000, remedy)?;
        within("callers.streams", callers.streams, 1..=100_000, "allow 1 to 100000 streams")?;
        let remedy = "allow 1024 bytes to 64 MiB";
        within("callers.body_bytes", callers.body_bytes, 1_024..=(64 << 20), remedy)?;
        let remedy = "allow 1 to 600000 milliseconds";
        within("callers.body_ms", callers.body_ms, 1..=600_000, remedy)?;
        within("callers.beat_ms", callers.beat_ms, 1..=1_000, "use 1 to 1000 milliseconds")
    }

    fn check_operators(&self) -> Result<(), settings::Error> {
        let limits = &self.operators.limits;
        let remedy = "allow 1024 bytes to 64 MiB";
        let bytes = 1_024..=(64 << 20);
        let name = "operators.limits.resource_bytes";
        within(name, limits.resource_bytes, bytes.clone(), remedy)?;
        within("operators.limits.change_bytes", limits.change_bytes, bytes, remedy)?;
        let remedy = "allow 1 to 1000 changes";
        within("operators.limits.changes", limits.changes, 1..=1_000, remedy)?;
        let remedy = "allow 1 to 100000 watches";
        within("operators.limits.watches", limits.watches, 1..=100_000, remedy)?;
        let remedy = "use pages of 1 to 100000 resources";
        within("operators.limits.page", limits.page, 1..=100_000, remedy)?;
        let remedy = "allow 1 to 600000 milliseconds";
        within("operators.limits.watch_ms", limits.watch_ms, 1..=600_000, remedy)?;
        within("operators.limits.body_ms", limits.body_ms, 1..=600_000, remedy)
    }

    fn check_config(&self) -> Result<(), settings::Error> {
        let config = &self.config;
        let remedy = "let 1 to 1000 daemons watch";
        within("config.watchers", config.watchers, 1..=1_000, remedy)?;
        let remedy = "use 100 to 600000 milliseconds";
        within("config.watch_ms", config.watch_ms, 100..=600_000, remedy)?;
        let remedy = "use 10 to 60000 milliseconds";
        within("config.retry_ms", config.retry_ms, 10..=60_000, remedy)?;
        within("config.poll_ms", config.poll_ms, 10..=60_000, remedy)?;
        let remedy = "use 100 to 60000 milliseconds";
        within("config.write_ms", config.write_ms, 100..=60_000, remedy)
    }

    fn check_coordinate(&self) -> Result<(), settings::Error> {
        let coordinate = &self.coordinate;
        let remedy = "allow 1 to 1000000 requests";
        within("coordinate.requests", coordinate.requests, 1..=1_000_000, remedy)?;
        let remedy = "use 100 to 600000 milliseconds";
        within("coordinate.isolation_ms", coordinate.isolation_ms, 100..=600_000, remedy)?;
        let remedy = "use 1000 to 600000 milliseconds";
        within("coordinate.linger_ms", coordinate.linger_ms, 1_000..=600_000, remedy)
    }
}

fn not_empty(field: &'static str, text: &str, remedy: &'static str) -> Result<(), settings::Error> {
    if text.is_empty() {
        let message = "no value is set".to_owned();
        return Err(settings::Error::Value { field, message, remedy });
    }
    Ok(())
}

fn within<T: Copy + PartialOrd + fmt::Display>(
    field: &'static str,
    value: T,
    range: ops::RangeInclusive<T>,
    remedy: &'static str,
) -> Result<(), settings::Error> {
    if range.contains(&value) {
        return Ok(());
    }
    let message = format!("{value} is outside its range");
    Err(settings::Error::Value { field, message, remedy })
}
