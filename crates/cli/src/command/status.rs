//! `status`: shows the state of each named daemon.

use std::net;

use trefoildyke_types::error;
use trefoildyke_wire::operators::message;

use crate::{context::Context, failure::Failure, output};

/// The answer of one daemon, or the error of the call.
#[derive(serde::Serialize)]
struct Row {
    daemon: net::SocketAddr,
    #[serde(skip_serializing_if = "Option::is_none")]
    overview: Option<message::Overview>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<error::Error>,
}

/// Asks every named daemon; succeeds if at least one answers.
pub(crate) async fn execute(context: &mut Context<'_>) -> Result<(), Failure> {
    let mut rows = Vec::new();
    let mut last = None;
    for daemon in context.daemons.clone() {
        let (overview, error) = match context.client.overview_of(daemon).await {
            Ok(overview) => (Some(overview), None),
            Err(error) => (None, Some(error)),
        };
        last = error.clone().or(last);
        rows.push(Row { daemon, overview, error });
    }
    let answered = rows.iter().any(|row| row.overview.is_some());
    context.show(&rows, |rows| table(rows))?;
    match last {
        Some(error) if !answered => Err(error.into()),
        _ => Ok(()),
    }
}

fn table(rows: &[Row]) -> output::Table {
    let mut table = output::Table::new(&[
        "DAEMON",
        "HOST",
        "INCARNATION",
        "VERSION",
        "IN FORCE",
        "STOPS ENDED",
        "LIVE",
        "ERROR",
    ]);
    for row in rows {
        let mut cells = vec![row.daemon.to_string()];
        match &row.overview {
            Some(overview) => cells.extend([
                overview.host.to_string(),
                overview.incarnation.to_string(),
                overview.version.to_string(),
                overview.in_force.to_string(),
                overview.settled.to_string(),
                overview.live.to_string(),
            ]),
            None => cells.extend((0..6).map(|_| "-".to_owned())),
        }
        cells.push(row.error.as_ref().map_or_else(String::new, ToString::to_string));
        table.add_row(&cells);
    }
    table
}
