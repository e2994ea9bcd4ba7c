//! Bytes of a record where it is stored and where it crosses between daemons.

use trefoildyke_decide::intents;
use trefoildyke_wire::peer;

use crate::measure::intents::load;
use crate::measure::table;

/// Returns a table of the bytes of a record, by how many are stored or sent together.
///
/// # Errors
///
/// Fails if a record has no stored form.
pub fn sizes(together: &[usize]) -> anyhow::Result<comfy_table::Table> {
    let mut table = table::new(&["records together", "stored bytes each", "sent bytes each"]);
    for &count in together {
        let records: Vec<_> =
            (0..count as u64).map(|n| (load::key(), load::record(u64::MAX - n))).collect();
        let rows = records.iter().cloned().map(|(key, record)| intents::Row { key, record });
        let part = intents::Part { sealed: false, rows: rows.collect() };
        let stored = serde_json::to_vec(&part)?.len();
        let sent = peer::Payload::encode(&peer::CommitRequest { records })?.0.len();
        table.add_row([
            count.to_string(),
            (stored / count).to_string(),
            (sent / count).to_string(),
        ]);
    }
    Ok(table)
}
