//! Tables that can be pasted into a page.

/// Creates a table with a header.
pub(crate) fn new(header: &[&str]) -> comfy_table::Table {
    let mut table = comfy_table::Table::new();
    table.load_preset(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header(header);
    table
}
