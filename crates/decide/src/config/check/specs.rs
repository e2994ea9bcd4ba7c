//! Validation of the fields of each kind of spec.

use std::{collections, fmt, ops};

use trefoildyke_types::{error, resource};

use crate::config::{
    KeyHash,
    check::{invalid, limits, names},
};

/// Checks the fields of a spec without regard to other resources.
pub(crate) fn spec(spec: &resource::Spec) -> Result<(), error::Error> {
    match spec {
        resource::Spec::ClientAccount(spec) => account(spec),
        resource::Spec::Endpoint(spec) => endpoint(spec),
        resource::Spec::EndpointPool(spec) => pool(spec),
        resource::Spec::EngineOrder(spec) => order(spec),
        resource::Spec::PlannedStop(spec) => stop(spec),
        resource::Spec::Tier(spec) => {
            range("spec.deadline_ms", spec.deadline_ms, 1..=limits::DEADLINE_MS)
        }
    }
}

fn account(spec: &resource::ClientAccountSpec) -> Result<(), error::Error> {
    range("spec.key_hashes", spec.key_hashes.len(), 1..=limits::ACCOUNT_KEYS)?;
    let mut seen = collections::BTreeSet::new();
    for (index, text) in spec.key_hashes.iter().enumerate() {
        let field = format!("spec.key_hashes[{index}]");
        let hash: KeyHash = text.parse().map_err(|_| {
            invalid("is not a SHA-256 hash in 64 lower-case hexadecimal digits")
                .at(&field)
                .remedy("print one with `trefoildyke key`")
        })?;
        if !seen.insert(hash) {
            return Err(invalid("occurs twice").at(&field).remedy("keep one of the two"));
        }
    }
    range("spec.classes", spec.classes.len(), 1..=limits::ACCOUNT_CLASSES)?;
    for class in spec.classes.keys() {
        names::resource("spec.classes", class)?;
    }
    range("spec.weight", spec.weight, 1..=limits::ACCOUNT_WEIGHT)?;
    spec.max_waiting
        .map_or(Ok(()), |max_waiting| range("spec.max_waiting", max_waiting, 1..=u32::MAX))
}

fn endpoint(spec: &resource::EndpointSpec) -> Result<(), error::Error> {
    names::resource("spec.host", spec.host.as_str())?;
    names::resource("spec.zone", spec.zone.as_str())?;
    range("spec.slots", spec.slots, 1..=limits::ENDPOINT_SLOTS)?;
    if spec.address.port() == 0 || spec.address.ip().is_unspecified() {
        return Err(invalid(format!("`{}` cannot be connected to", spec.address))
            .at("spec.address")
            .remedy("use the IP number and port on which the endpoint listens"));
    }
    Ok(())
}

fn pool(spec: &resource::EndpointPoolSpec) -> Result<(), error::Error> {
    if let resource::PoolProtocol::Engine { model } = &spec.protocol {
        names::ident("spec.protocol.engine.model", model.as_str())?;
    }
    range("spec.shards", spec.shards, 1..=limits::POOL_SHARDS)
}

fn order(spec: &resource::EngineOrderSpec) -> Result<(), error::Error> {
    match &spec.action {
        resource::OrderAction::LoadModel { model, version } => {
            names::ident("spec.action.load_model.model", model.as_str())?;
            names::ident("spec.action.load_model.version", version)
        }
        resource::OrderAction::LoadAdapter { adapter } => {
            names::ident("spec.action.load_adapter.adapter", adapter)
        }
        resource::OrderAction::SetRole { role } => names::ident("spec.action.set_role.role", role),
    }
}

fn stop(spec: &resource::PlannedStopSpec) -> Result<(), error::Error> {
    match &spec.target {
        resource::StopTarget::Host(host) => names::resource("spec.target.host", host.as_str()),
        resource::StopTarget::Endpoint(_) | resource::StopTarget::Pool(_) => Ok(()),
    }
}

/// Checks that the value of a field is in the allowed range.
fn range<T>(field: &str, value: T, allowed: ops::RangeInclusive<T>) -> Result<(), error::Error>
where
    T: Copy + PartialOrd + fmt::Display,
{
    if allowed.contains(&value) {
        return Ok(());
    }
    let (low, high) = (allowed.start(), allowed.end());
    Err(invalid(format!("{value} is out of range"))
        .at(field)
        .remedy(format!("use {low} to {high}")))
}
