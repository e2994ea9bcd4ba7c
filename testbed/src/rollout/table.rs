//! The runs of all kinds, summed up.

use plotters::{prelude, prelude::IntoDrawingArea as _};
use trefoildyke_decide::gateway::Stage;

use crate::rollout::{Beside, Cell, Fault, Kind, Onset, play};

/// Sums up the runs of one kind.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Row {
    /// What was played.
    pub name: String,
    /// How many runs.
    pub runs: u64,
    /// Runs in which the new version was given up.
    pub reverted: u64,
    /// Runs that were complete in time.
    pub complete: u64,
    /// Runs in which a bad version would have got too much.
    pub exposed: u64,
    /// The largest part of the requests that the new version got.
    pub most_tried: f64,
    /// The latest request to the new version after its fiftieth bad answer, in milliseconds.
    pub latest_ms: u64,
}

/// Returns the kinds of run: good versions, and bad ones of all kinds, on calm days and beside trouble.
pub fn cells() -> Vec<Cell> {
    let mut faults = vec![None];
    for onset in [Onset::Start, Onset::Later, Onset::Loaded, Onset::Route] {
        for part in [0.02, 0.1, 0.5] {
            faults.push(Some(Fault { part, kind: Kind::Fails, onset }));
        }
        for (part, times) in [(1.0, 2.0), (1.0, 3.0), (0.3, 5.0), (1.0, 10.0)] {
            faults.push(Some(Fault { part, kind: Kind::Slow(times), onset }));
        }
    }
    let besides = [Beside::Calm, Beside::Burst, Beside::Ill];
    let of_fault = |fault| besides.map(|beside| Cell { fault, beside });
    faults.into_iter().flat_map(of_fault).collect()
}

/// Plays a kind of run with the seeds from 1 on.
pub fn row(cell: Cell, runs: u64) -> Row {
    let mut row = Row {
        name: cell.to_string(),
        runs,
        reverted: 0,
        complete: 0,
        exposed: 0,
        most_tried: 0.0,
        latest_ms: 0,
    };
    for seed in 1..=runs {
        let course = play(cell, seed);
        row.reverted += u64::from(matches!(course.stage, Stage::Stopped | Stage::Reverted));
        row.complete += u64::from(course.is_complete());
        row.exposed += u64::from(!course.is_exposure_kept());
        let part = course.tried as f64 / course.requests.max(1) as f64;
        row.most_tried = row.most_tried.max(part);
        row.latest_ms = row.latest_ms.max(course.stop_ms.unwrap_or(0));
    }
    row
}

/// The size of a bar in the plot, and the room for names, in pixels.
const BAR: (i32, i32) = (300, 14);
const NAMES: i32 = 330;

/// Returns a picture of the rows: how many runs were given up (red) and complete (green).
///
/// # Errors
///
/// Fails if the picture cannot be drawn.
pub fn svg(rows: &[Row]) -> anyhow::Result<String> {
    let mut text = String::new();
    let height = (rows.len() as i32 + 2) * BAR.1;
    {
        let size = ((NAMES + BAR.0 + 20) as u32, height as u32);
        let root = prelude::SVGBackend::with_string(&mut text, size).into_drawing_area();
        let failed = |error| anyhow::anyhow!("the plot cannot be drawn: {error:?}");
        root.fill(&prelude::WHITE).map_err(failed)?;
        for (place, row) in rows.iter().enumerate() {
            let y = (place as i32 + 1) * BAR.1;
            let label = prelude::Text::new(row.name.clone(), (5, y), ("sans-serif", 11));
            root.draw(&label).map_err(failed)?;
            let width = |count: u64| (BAR.0 as f64 * count as f64 / row.runs as f64) as i32;
            let (first, last) = (NAMES, NAMES + BAR.0);
            let bars = [
                ([(first, y), (first + width(row.reverted), y + BAR.1 - 3)], prelude::RED),
                ([(last - width(row.complete), y), (last, y + BAR.1 - 3)], prelude::GREEN),
            ];
            for (corners, colour) in bars {
                let bar =
                    prelude::Rectangle::new(corners, prelude::ShapeStyle::from(colour).filled());
                root.draw(&bar).map_err(failed)?;
            }
        }
        root.present().map_err(failed)?;
    }
    Ok(text)
}
