//! Columns for a person.

use trefoildyke_types::resource;

/// Holds rows under a head; columns are parted by two spaces.
pub(crate) struct Table(comfy_table::Table);

impl Table {
    pub(crate) fn new(head: &[&str]) -> Self {
        let mut table = comfy_table::Table::new();
        table.load_preset(comfy_table::presets::NOTHING);
        table.set_header(head);
        Self(table)
    }

    pub(crate) fn row(&mut self, cells: &[String]) {
        self.0.add_row(cells);
    }

    /// Returns the table without blanks at the ends of lines.
    pub(crate) fn to_text(&self) -> String {
        let text = self.0.to_string();
        text.lines().map(|line| format!("{}\n", line.trim())).collect()
    }
}

/// Returns the table of resources with their status.
pub(crate) fn resources(resources: &[resource::Resource]) -> Table {
    let mut table =
        Table::new(&["KIND", "NAME", "GENERATION", "VERSION", "PHASE", "DAEMONS", "MESSAGE"]);
    for resource in resources {
        let status = resource.status.as_ref();
        table.row(&[
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
