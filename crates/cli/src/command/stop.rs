//! `stop`: stops an endpoint, host or pool gracefully.

use trefoildyke_types::{error, resource};

use crate::{context::Context, failure::Failure, options, output};

/// Creates the planned stop unless it exists, and waits until it has ended on every live daemon.
pub(crate) async fn execute(
    stop: &options::Stop,
    context: &mut Context<'_>,
) -> Result<(), Failure> {
    let desired = planned_stop(stop)?;
    let key = desired.key();
    let version = match context.client.get(&key).await {
        Ok(existing) if existing.spec == desired.spec => existing.resource_version,
        Ok(_) => {
            let message = format!("{key} stops another target");
            return Err(Failure::Usage(format!("{message}; choose another --name")));
        }
        Err(error) if error.kind == error::ErrorKind::NotFound => {
            context.client.apply(&[&desired]).await?.version
        }
        Err(error) => return Err(error.into()),
    };
    if !stop.no_wait {
        context.wait_settled(version, stop.wait_for).await?;
    }
    let existing = context.client.get(&key).await?;
    context.show(&existing, |existing| output::resources(std::slice::from_ref(existing)))
}

fn planned_stop(stop: &options::Stop) -> Result<resource::Resource, Failure> {
    let (prefix, target, name) = match (&stop.endpoint, &stop.host, &stop.pool) {
        (Some(name), None, None) => {
            ("endpoint", resource::StopTarget::Endpoint(name.as_str().into()), name)
        }
        (None, Some(name), None) => {
            ("host", resource::StopTarget::Host(name.as_str().into()), name)
        }
        (None, None, Some(name)) => {
            ("pool", resource::StopTarget::Pool(name.as_str().into()), name)
        }
        _ => {
            let message = "name one target: --endpoint, --host or --pool";
            return Err(Failure::Usage(message.to_owned()));
        }
    };
    let name = stop.name.clone().unwrap_or_else(|| format!("{prefix}-{name}"));
    Ok(resource::Resource {
        name,
        spec: resource::Spec::PlannedStop(resource::PlannedStopSpec { target }),
        generation: 0,
        resource_version: 0,
        status: None,
    })
}
