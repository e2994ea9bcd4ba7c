//! `stop`: stops an endpoint, host or pool gracefully.

use trefoildyke_types::{error, resource};

use crate::{context::Context, failure::Failure, options, output};

/// Creates the planned stop, unless it stands, and waits until it has ended everywhere.
pub(crate) async fn execute(
    stop: &options::Stop,
    context: &mut Context<'_>,
) -> Result<(), Failure> {
    let wanted = planned_stop(stop)?;
    let key = wanted.key();
    let version = match context.client.get(&key).await {
        Ok(standing) if standing.spec == wanted.spec => standing.resource_version,
        Ok(_) => {
            let message = format!("{key} stops something else");
            return Err(Failure::Usage(format!("{message}; choose another --name")));
        }
        Err(error) if error.kind == error::ErrorKind::NotFound => {
            context.client.apply(&[&wanted]).await?.version
        }
        Err(error) => return Err(error.into()),
    };
    if !stop.no_wait {
        context.wait_settled(version, stop.wait_for).await?;
    }
    let standing = context.client.get(&key).await?;
    context.show(&standing, |standing| output::resources(std::slice::from_ref(standing)))
}

fn planned_stop(stop: &options::Stop) -> Result<resource::Resource, Failure> {
    let (word, target, name) = match (&stop.endpoint, &stop.host, &stop.pool) {
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
    let name = stop.name.clone().unwrap_or_else(|| format!("{word}-{name}"));
    Ok(resource::Resource {
        name,
        spec: resource::Spec::PlannedStop(resource::PlannedStopSpec { target }),
        generation: 0,
        resource_version: 0,
        status: None,
    })
}
