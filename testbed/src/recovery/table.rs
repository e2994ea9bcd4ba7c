//! The recovery times of all kinds and lengths of disturbance.

use plotters::{
    prelude,
    prelude::{IntoDrawingArea as _, Palette as _},
};

use crate::recovery::{Disturbance, Kind, recovery_ms};

/// The lengths of the disturbances, in milliseconds.
pub const LENGTHS_MS: [u64; 5] = [500, 1_000, 2_000, 4_000, 8_000];

/// When disturbances begin, in milliseconds.
const START_MS: u64 = 5_000;

/// The recovery times of one kind of disturbance.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Row {
    /// The name of the kind.
    pub name: &'static str,
    /// The recovery time for each of [`LENGTHS_MS`], in milliseconds; `None` if it is longer than 15 s.
    pub recovery_ms: Vec<Option<u64>>,
}

/// Plays all kinds and lengths of disturbance.
pub fn rows() -> Vec<Row> {
    let recovery = |kind, length| {
        recovery_ms(Disturbance { kind, start_ms: START_MS, end_ms: START_MS + length })
    };
    let row = |kind: Kind| Row {
        name: kind.name(),
        recovery_ms: LENGTHS_MS.map(|length| recovery(kind, length)).to_vec(),
    };
    Kind::ALL.map(row).to_vec()
}

/// The size of the plot in pixels, and the largest recovery time that it shows, in milliseconds.
const SIZE: (u32, u32) = (640, 360);
const MAX_MS: u64 = 15_000;

/// Returns a plot of the recovery times over the lengths of the disturbances.
///
/// # Errors
///
/// Fails if the plot cannot be drawn.
pub fn svg(rows: &[Row]) -> anyhow::Result<String> {
    let mut text = String::new();
    draw(rows, &mut text).map_err(|error| anyhow::anyhow!("the plot cannot be drawn: {error}"))?;
    Ok(text)
}

fn draw(rows: &[Row], text: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let root = prelude::SVGBackend::with_string(text, SIZE).into_drawing_area();
    root.fill(&prelude::WHITE)?;
    let longest = LENGTHS_MS[LENGTHS_MS.len() - 1];
    let mut chart = prelude::ChartBuilder::on(&root)
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(60)
        .build_cartesian_2d(0..longest, 0..MAX_MS)?;
    chart.configure_mesh().x_desc("length of the disturbance, ms").y_desc("recovery, ms").draw()?;
    for (index, row) in rows.iter().enumerate() {
        let colour = prelude::Palette99::pick(index);
        let times = row.recovery_ms.iter().map(|time| time.unwrap_or(MAX_MS));
        let line = prelude::LineSeries::new(LENGTHS_MS.into_iter().zip(times), &colour);
        chart.draw_series(line)?.label(row.name).legend(move |(x, y)| {
            prelude::PathElement::new([(x, y), (x + 15, y)], prelude::Palette99::pick(index))
        });
    }
    chart.configure_series_labels().border_style(prelude::BLACK).draw()?;
    root.present()?;
    Ok(())
}
