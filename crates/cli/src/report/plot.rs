//! A stacked bar chart of requests by second and result.

use plotters::{
    prelude,
    prelude::IntoDrawingArea as _,
    style::{Color as _, RGBColor},
};

use crate::report;

const SIZE: (u32, u32) = (960, 420);
const MARGIN: u32 = 12;
const AXIS_SIZE: u32 = 44;

/// One series of the stacked bars.
struct Series {
    name: &'static str,
    color: RGBColor,
    count: fn(&report::Tally) -> usize,
}

/// The series from bottom to top, the useful results first.
const SERIES: [Series; 5] = [
    Series { name: "in time", color: RGBColor(46, 125, 50), count: |tally| tally.in_time },
    Series { name: "late", color: RGBColor(249, 168, 37), count: |tally| tally.late },
    Series { name: "refused", color: RGBColor(144, 164, 174), count: |tally| tally.refused },
    Series { name: "broken", color: RGBColor(198, 40, 40), count: |tally| tally.broken },
    Series { name: "failed", color: RGBColor(106, 27, 154), count: |tally| tally.failed },
];

/// An error while drawing the chart.
#[derive(Debug, thiserror::Error)]
#[error("the chart cannot be drawn: {0}")]
pub struct DrawError(String);

/// Returns a chart of the requests of each second by result, as SVG.
///
/// # Errors
///
/// Fails if there are no requests or if the chart cannot be drawn.
pub fn svg(statistics: &report::Statistics) -> Result<String, DrawError> {
    let mut svg = String::new();
    draw(statistics, &mut svg).map_err(|error| DrawError(error.to_string()))?;
    Ok(svg)
}

fn draw(
    statistics: &report::Statistics,
    svg: &mut String,
) -> Result<(), Box<dyn std::error::Error>> {
    let root = prelude::SVGBackend::with_string(svg, SIZE).into_drawing_area();
    root.fill(&prelude::WHITE)?;
    let max_requests = statistics.seconds.iter().map(|group| group.tally.offered).max();
    let max_requests = max_requests.ok_or("there are no requests")?;
    let bar_count = statistics.seconds.len();
    let mut chart = prelude::ChartBuilder::on(&root)
        .margin(MARGIN)
        .x_label_area_size(AXIS_SIZE)
        .y_label_area_size(AXIS_SIZE)
        .build_cartesian_2d(0..bar_count, 0..max_requests)?;
    chart.configure_mesh().x_desc("second").y_desc("requests").draw()?;
    let mut bottoms = vec![0; bar_count];
    for series in &SERIES {
        let mut bars = Vec::with_capacity(bar_count);
        for (second, group) in statistics.seconds.iter().enumerate() {
            let top = bottoms[second] + (series.count)(&group.tally);
            let corners = [(second, bottoms[second]), (second + 1, top)];
            bars.push(prelude::Rectangle::new(corners, series.color.filled()));
            bottoms[second] = top;
        }
        let color = series.color;
        let swatch = move |(x, y): (i32, i32)| {
            prelude::Rectangle::new([(x, y - 5), (x + 12, y + 5)], color.filled())
        };
        chart.draw_series(bars)?.label(series.name).legend(swatch);
    }
    chart
        .configure_series_labels()
        .position(prelude::SeriesLabelPosition::UpperRight)
        .background_style(prelude::WHITE.mix(0.8))
        .draw()?;
    root.present()?;
    Ok(())
}
