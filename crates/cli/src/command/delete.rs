//! `delete`: deletes resources, all or none.

use trefoildyke_decide::config;

use crate::{command::reference, context::Context, failure::Failure, options, output};

/// Deletes the named resources in one change.
pub(crate) async fn execute(
    delete: &options::Delete,
    context: &mut Context<'_>,
) -> Result<(), Failure> {
    if delete.resources.is_empty() {
        return Err(Failure::Usage("no resource is named; use KIND/NAME".to_owned()));
    }
    let keys = delete.resources.iter().map(|text| reference::parse_key(text));
    let deletions = keys.map(|key| key.map(|key| config::Deletion { key, resource_version: None }));
    let set =
        config::ChangeSet { puts: Vec::new(), deletions: deletions.collect::<Result<_, _>>()? };
    let accepted = context.client.apply(&set).await?;
    context.show(&accepted, |accepted| {
        let mut table = output::Table::new(&["RESOURCE", "RESULT", "VERSION"]);
        for deletion in &set.deletions {
            let version = accepted.version.to_string();
            table.add_row(&[deletion.key.to_string(), "deleted".to_owned(), version]);
        }
        table
    })?;
    if delete.wait {
        context.wait_in_force(accepted.version, delete.wait_for).await?;
    }
    Ok(())
}
