//! `apply`: creates or replaces resources from files.

use std::{collections, fs, io};

use trefoildyke_decide::config;
use trefoildyke_types::resource;

use crate::{context::Context, failure::Failure, options, output};

/// The result for one resource.
#[derive(Debug, serde::Serialize)]
struct Applied {
    resource: String,
    result: &'static str,
    version: u64,
}

/// Reads the files and checks their syntax.
pub(crate) fn check(apply: &options::Apply) -> Result<(), Failure> {
    read(apply).map(|_| ())
}

/// Applies the files as one change.
pub(crate) async fn execute(
    apply: &options::Apply,
    context: &mut Context<'_>,
) -> Result<(), Failure> {
    let desired = read(apply)?;
    let existing = existing(&desired, context).await?;
    let mut rows = Vec::new();
    let mut puts = Vec::new();
    for mut resource in desired {
        let key = resource.key();
        let current = existing.get(&key);
        let result = match current {
            Some(current) if current.spec == resource.spec => "unchanged",
            Some(_) => "replaced",
            None => "created",
        };
        let version = current.map_or(0, |current| current.resource_version);
        rows.push(Applied { resource: key.to_string(), result, version });
        if result != "unchanged" {
            // A version given in the file is the one that the operator expects to replace.
            if resource.resource_version == 0 {
                resource.resource_version = version;
            }
            resource.status = None;
            puts.push(resource);
        }
    }
    let highest = rows.iter().map(|row| row.version).max().unwrap_or(0);
    let version =
        if puts.is_empty() { highest } else { context.client.apply(&puts).await?.version };
    for row in rows.iter_mut().filter(|row| row.result != "unchanged") {
        row.version = version;
    }
    context.show(&rows, |rows| table(rows))?;
    if apply.wait {
        context.wait_in_force(version, apply.wait_for).await?;
    }
    Ok(())
}

fn table(rows: &[Applied]) -> output::Table {
    let mut table = output::Table::new(&["RESOURCE", "RESULT", "VERSION"]);
    for row in rows {
        table.add_row(&[row.resource.clone(), row.result.to_owned(), row.version.to_string()]);
    }
    table
}

fn read(apply: &options::Apply) -> Result<Vec<resource::Resource>, Failure> {
    if apply.file.is_empty() {
        return Err(Failure::Usage("no file is named; give -f FILE".to_owned()));
    }
    let mut resources = Vec::new();
    for path in &apply.file {
        let text =
            if path == "-" { io::read_to_string(io::stdin()) } else { fs::read_to_string(path) };
        let text = text.map_err(|cause| Failure::File { path: path.clone(), cause })?;
        let read = config::from_yaml(&text).map_err(|mut error| {
            error.message = format!("{path}: {}", error.message);
            error
        })?;
        resources.extend(read);
    }
    Ok(resources)
}

type Existing = collections::BTreeMap<resource::ResourceKey, resource::Resource>;

/// Returns the existing resources of the kinds in `desired`.
async fn existing(
    desired: &[resource::Resource],
    context: &Context<'_>,
) -> Result<Existing, Failure> {
    let kinds: collections::BTreeSet<_> = desired.iter().map(|r| r.spec.kind()).collect();
    let mut existing = Existing::new();
    for kind in kinds {
        let all = context.list_all(kind).await?;
        existing.extend(all.into_iter().map(|resource| (resource.key(), resource)));
    }
    Ok(existing)
}
