//! `get`: shows resources with their status.

use trefoildyke_types::resource;

use crate::{command::reference, context::Context, failure::Failure, options, output};

/// Shows the named resources, or all resources if none is named.
pub(crate) async fn execute(get: &options::Get, context: &mut Context<'_>) -> Result<(), Failure> {
    let mut found = Vec::new();
    for text in &get.resources {
        match reference::parse(text)? {
            (kind, None) => found.extend(context.list_all(kind).await?),
            (kind, Some(name)) => {
                found.push(context.client.get(&resource::ResourceKey { kind, name }).await?);
            }
        }
    }
    if get.resources.is_empty() {
        for kind in resource::Kind::ALL {
            found.extend(context.list_all(kind).await?);
        }
    }
    if context.format == output::Format::Yaml {
        return show_documents(&found, context);
    }
    context.show(&found, |found| output::resources(found))
}

/// Writes each resource as a YAML document that `apply` accepts.
fn show_documents(found: &[resource::Resource], context: &mut Context<'_>) -> Result<(), Failure> {
    for resource in found {
        context.out.write_all(b"---\n")?;
        context.show(resource, |resource| output::resources(std::slice::from_ref(resource)))?;
    }
    Ok(())
}
