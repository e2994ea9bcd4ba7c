//! Human-readable tables.

use trefoildyke_types::resource;

/// A table with a header row; columns are separated by two spaces.
pub(crate) struct Table(comfy_table::Table);

impl Table {
    pub(crate) fn new(header: &[&str]) -> Self {
        let mut table = comfy_table::Table::new();
        table.load_preset(comfy_table::presets::NOTHING);
        table.set_header(header);
        Self(table)
    }

    pub(crate) fn add_row(&mut self, cells: &[String]) {
        self.0.add_row(cells);
    }

    /// Returns the table as text, each line trimmed at both ends.
    pub(crate) fn to_text(&self) -> String {
        let text = self.0.to_string();
        text.lines().map(|line| format!("{}\n", line.trim())).collect()
    }
}

/// Returns a table of resources with their status.
pub(crate) fn resources(resources: &[resource::Resource]) -> Table {
    let mut table =
        Table::new(&["KIND", "NAME", "GENERATION", "VERSION", "PHASE", "DAEMONS", "MESSAGE"]);
    for resource in resources {
        let status = resource.status.as_ref();
        table.add_row(&[
            resource.spec.kind().to_string(),
            resource.name.clone(),
            resource.generation.to_string(),
            resource.resource_version.to_string(),
            status.map_or_else(String::new, |status| format!("{:?}", status.phase)),
            status.map_or_else(String::new, |s| format!("{}/{}", s.reported, s.live)),
            status.map_or_else(String::new, |status| status.message.clone()),
        ]);
    }
    table
}
