//! `timeline`: shows the events of all daemons in causal order.

use trefoildyke_types::event;

use crate::{context::Context, failure::Failure, options, output, timeline};

/// Reads the events of every named daemon; succeeds if at least one answers.
pub(crate) async fn execute(
    options: &options::Timeline,
    context: &mut Context<'_>,
) -> Result<(), Failure> {
    let mut events = Vec::new();
    let mut answered = false;
    let mut last = None;
    for daemon in context.daemons.clone() {
        match context.client.all_events(daemon, 0).await {
            Ok(read) => {
                answered = true;
                events.extend(read);
            }
            Err(error) => {
                eprintln!("warning: the events of {daemon} are missing: {error}");
                last = Some(error);
            }
        }
    }
    if let Some(error) = last
        && !answered
    {
        return Err(error.into());
    }
    if let Some(id) = &options.request {
        let uuid = id.split('.').next().unwrap_or(id);
        events.retain(|event| {
            event.key.as_ref().is_some_and(|key| key.id.uuid().to_string() == uuid)
        });
    }
    let merged = timeline::merge(events);
    context.show(&merged, |events| table(events))
}

fn table(events: &[event::Event]) -> output::Table {
    let mut table =
        output::Table::new(&["CLOCK", "TIME US", "HOST", "SEQ", "EVENT", "REQUEST", "DETAIL"]);
    for event in events {
        table.add_row(&[
            event.clock.to_string(),
            event.time_us.to_string(),
            event.host.to_string(),
            event.seq.to_string(),
            event.kind.clone(),
            event.key.as_ref().map_or_else(String::new, ToString::to_string),
            event.detail.clone(),
        ]);
    }
    table
}
